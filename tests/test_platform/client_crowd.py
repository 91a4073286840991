"""Clients that keep to no limit, beside one process of the system."""

import os
import pathlib
from typing import NamedTuple

import eventlet
from eventlet.green import socket

from tests.test_daemon import workflow_base
from tests.test_platform import process_bench
from wisterialug_daemon.workflow import clock

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
PIECE_BYTES = 65_536
# Clients end by themselves after that.
STAY_S = 90.0
# A crowd has settled once nothing was sent or read for QUIET_S.
QUIET_S = 1.5
SETTLE_S = 60.0
WATCH_S = 0.05
RETURN_S = 0.2
# Only ends a test that would hang.
ANSWER_S = 60.0
CLIENT_ERRORS = (OSError, eventlet.Timeout)


def request(method, path, *lines, body=b""):
    """Returns the bytes of a request."""
    head = (f"{method} {path} HTTP/1.1", f"Host: {process_bench.HOST}", *lines)
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def job_head(job, *lines):
    """Returns the bytes before a job's body."""
    return request("POST", process_bench.PREFIX + job, *lines)


def chunked(body, size):
    """Returns a body in chunks of a size, without its last chunk."""
    return b"".join(
        b"%x\r\n%b\r\n" % (len(part), part)
        for part in (body[n : n + size] for n in range(0, len(body), size))
    )


class Usage(NamedTuple):
    """What a process uses.

    Attributes:
      unread_kib: Received by the kernel, and not yet read; not resident.
      descriptors: The most that were open at a time so far.
      sockets: The same of sockets and pipes.
    """

    peak_kib: int
    resident_kib: int
    unread_kib: int
    descriptors: int
    sockets: int


class Connection:
    """One connection of a client that waits for its answers."""

    def __init__(self, ip, port):
        self._sock = socket.create_connection((ip, port), timeout=ANSWER_S)
        self._file = self._sock.makefile("rb")

    def send(self, *pieces, pause_s=0.0):
        for piece in pieces:
            self._sock.sendall(piece)
            eventlet.sleep(pause_s)

    def answer(self):
        """Returns the status and body of the next answer; 0 without one."""
        line = self._file.readline()
        if not line:
            return 0, b""
        length = 0
        while (header := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = header.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        return int(line.split()[1]), self._file.read(length)

    def close(self):
        self._file.close()
        self._sock.close()


class Crowd:
    """Clients that send the same bytes and stay connected.

    Those that don't return read nothing.

    Attributes:
      sent: Bytes that all clients have sent.
      done: Number of clients that have sent all, or were closed.
    """

    def __init__(self, ip):
        self._ip = ip
        self._socks = []
        self._threads = []
        self.sent = 0
        self.done = 0

    def join(
        self,
        count,
        port,
        data,
        piece_bytes=PIECE_BYTES,
        pause_s=0.0,
        returns=0,
    ):
        """Connects clients; each sends its bytes in pieces.

        Args:
          count: Number of clients.
          port: Port of the process.
          data: What each of them sends.
          piece_bytes: Size of a piece.
          pause_s: Time after each piece.
          returns: How often a client that was closed connects again.
        """
        for _ in range(count):
            args = port, data, piece_bytes, pause_s, returns
            self._threads.append(eventlet.spawn(self._run, *args))

    def settle(self):
        """Waits until nothing more is sent, and nothing read of it."""
        until_s = clock.now_s() + SETTLE_S
        seen, since_s = None, clock.now_s()
        while clock.now_s() < min(until_s, since_s + QUIET_S):
            state = self.sent, self.done, unread_bytes(self._ip)
            if state != seen:
                seen, since_s = state, clock.now_s()
            eventlet.sleep(0.1)

    def close(self):
        for thread in self._threads:
            thread.kill()
        for sock in self._socks:
            sock.close()

    def _run(self, port, data, piece_bytes, pause_s, returns):
        try:
            with eventlet.Timeout(STAY_S):
                waits = bool(returns)
                self._send(port, data, piece_bytes, pause_s, waits)
                for _ in range(returns):
                    eventlet.sleep(RETURN_S)
                    self._send(port, data, piece_bytes, pause_s, waits)
        except eventlet.Timeout:
            pass
        finally:
            self.done += 1

    def _send(self, port, data, piece_bytes, pause_s, waits):
        sock = socket.socket()
        self._socks.append(sock)
        view = memoryview(data)
        try:
            sock.connect((self._ip, port))
            for first in range(0, len(data), piece_bytes):
                piece = view[first : first + piece_bytes]
                sock.sendall(piece)
                self.sent += len(piece)
                eventlet.sleep(pause_s)
            while waits and sock.recv(PIECE_BYTES):
                pass
        except OSError:
            # To be turned away or closed is allowed.
            pass
        finally:
            if waits:
                sock.close()


class CrowdTest(process_bench.ProcessTest):
    """Provides one process with lowered limits, and a crowd beside it."""

    PROCESSES = 1
    MEMORY_MB = 100
    MAX_FDS = 4100

    def setUp(self):
        super().setUp()
        self.add_worker("w0", 0)
        self.start_processes()
        self.ip = f"{self._net}.1"
        self.pid = self.processes[0].pid
        self.most_descriptors = self.most_sockets = 0
        watch = eventlet.spawn(self.watch_descriptors)
        self.addCleanup(watch.kill)
        self.hand_in_and_get()
        self.crowd = Crowd(self.ip)
        self.addCleanup(self.crowd.close)
        self.before = self.measured()

    def join(self, count, port, method, path, *lines, body=b"", **pace):
        """Adds clients that send the same request."""
        data = request(method, path, *lines, body=body)
        self.crowd.join(count, port, data, **pace)

    def connect(self, port=process_bench.CALLERS_PORT):
        conn = Connection(self.ip, port)
        self.addCleanup(conn.close)
        return conn

    def hand_in_and_get(self):
        """Makes ordinary requests: hands a job in and gets its state."""
        job = self.hand_in(1, ANSWER_S)
        self.wait_for(
            lambda: self.ask("GET", job)[0] == 200, ANSWER_S, self.logged
        )

    def new_job(self, *steps):
        """Returns an id whose runs the emulated workers know."""
        job = workflow_base.workflow_pb2.Job(
            id=f"{self.rng.getrandbits(64):016x}", steps=steps
        )
        self.jobs[job.id] = job
        return job.id

    def measured(self):
        """Returns what the process uses; checks that it lives."""
        self.assertIsNone(self.processes[0].poll(), self.logged())
        proc = pathlib.Path(f"/proc/{self.pid}")
        status = dict(
            line.split(":", 1)
            for line in (proc / "status").read_text().splitlines()
        )
        return Usage(
            peak_kib=int(status["VmHWM"].split()[0]),
            resident_kib=int(status["VmRSS"].split()[0]),
            unread_kib=unread_bytes(self.ip) // 1024,
            descriptors=self.most_descriptors,
            sockets=self.most_sockets,
        )

    def watch_descriptors(self):
        """Keeps the largest numbers, until the process ends."""
        folder = pathlib.Path(f"/proc/{self.pid}/fd")
        while self.processes[0].poll() is None:
            links = [_link(file) for file in folder.iterdir()]
            self.most_descriptors = max(self.most_descriptors, len(links))
            sockets = sum(x.startswith(("socket:", "pipe:")) for x in links)
            self.most_sockets = max(self.most_sockets, sockets)
            eventlet.sleep(WATCH_S)

    def check_bounds(self):
        """Checks that the process lives within its settings' limits."""
        used = self.measured()
        print(self.id(), "before", self.before, "now", used)
        text = f"{self.before} before, {used} now"
        most_kib = self.MEMORY_MB * 1024
        self.assertLess(used.peak_kib, most_kib, text)
        self.assertLess(used.resident_kib + used.unread_kib, most_kib, text)
        self.assertLess(used.descriptors, self.MAX_FDS, text)
        self.assertLess(used.sockets, self.MAX_FDS - FILE_DESCRIPTORS, text)

    def check_survives(self, beside_s=None):
        """Checks the process beside the crowd, and after it has left.

        Args:
          beside_s: When the process is looked at, for a crowd that goes on
            sending; otherwise once it has settled.
        """
        if beside_s is None:
            self.crowd.settle()
        else:
            eventlet.sleep(beside_s)
        self.check_bounds()
        self.hand_in_and_get()
        self.check_bounds()
        self.crowd.close()
        self.hand_in_and_get()
        self.check_bounds()


def unread_bytes(ip):
    """Returns the bytes that the kernel holds for sockets of an address."""
    local = socket.inet_aton(ip)[::-1].hex().upper()
    queues = (
        fields[4].partition(":")[2]
        for fields in map(
            str.split, pathlib.Path("/proc/net/tcp").read_text().splitlines()
        )
        if fields[1].startswith(local)
    )
    return sum(int(queue, 16) for queue in queues)


def _link(file):
    try:
        return os.readlink(file)
    except FileNotFoundError:
        return ""
