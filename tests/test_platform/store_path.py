"""A path over TCP that fails in the ways in which networks do."""

import enum
import socket
import struct

import eventlet
from eventlet.green import socket as green_socket

RESET = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """What a path does with connections."""

    NONE = "none"
    # All connections, open ones and new ones, carry nothing more.
    SILENT = "silent"
    # Only those that were open when the fault began.
    OPEN_ONES_SILENT = "open-ones-silent"
    RESET = "reset"
    # A connect gets no answer; open connections are silent.
    CONNECT_HANGS = "connect-hangs"


class StorePath:
    """Forwards connections to a port on the loopback."""

    def __init__(self, port):
        self._target = port
        self._generation = 0
        self._fault = Fault.NONE
        self._sockets = []
        self._threads = []
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=50)
        self._hanging = None
        self.port = self._listener.getsockname()[1]
        self._threads.append(eventlet.spawn(self._accept))

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def close(self):
        for thread in self._threads:
            thread.kill()
        for sock in [self._listener, *self._sockets]:
            sock.close()

    def begin(self, fault):
        """Begins a fault, or ends it with Fault.NONE."""
        self._fault = fault
        self._generation += 1
        if fault is Fault.RESET:
            for sock in self._sockets:
                _reset(sock)
        if fault is Fault.CONNECT_HANGS:
            self._fill_backlog()

    def _fill_backlog(self):
        """Makes the kernel leave further connects without an answer."""
        self._threads.pop(0).kill()
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._sockets.append(filler)

    def _accept(self):
        while True:
            conn, _ = self._listener.accept()
            self._sockets.append(conn)
            if self._fault is Fault.RESET:
                _reset(conn)
                continue
            target = green_socket.create_connection(("127.0.0.1", self._target))
            self._sockets.append(target)
            for ends in ((conn, target), (target, conn)):
                self._threads.append(
                    eventlet.spawn(self._forward, *ends, self._generation)
                )

    def _forward(self, source, target, generation):
        try:
            while data := source.recv(65_536):
                if self._is_silent(generation):
                    eventlet.sleep(60)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            target.close()

    def _is_silent(self, generation):
        if self._fault in {Fault.SILENT, Fault.CONNECT_HANGS}:
            return True
        return (
            self._fault is Fault.OPEN_ONES_SILENT
            and generation < self._generation
        )


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()
