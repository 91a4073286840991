"""Tests of how bodies are delimited and of who is disconnected first."""

import sys

import testtools

from wisterialug_daemon.http import framing, limits, request_errors

State = limits.State
MAX_BODY = 1000
MEMORY_MB, MAX_FDS = 200, 4100


def decode(data, piece=None):
    """Returns the decoder after all bytes, and what follows the body."""
    decoder = framing.ChunkedDecoder(MAX_BODY, bytearray())
    piece = piece or len(data)
    rest = b""
    for begin in range(0, len(data), piece):
        if decoder.complete:
            rest += data[begin : begin + piece]
        else:
            rest = decoder.feed(data[begin : begin + piece])
    return decoder, rest


class FramingTest(testtools.TestCase):
    def test_headers(self):
        self.assertEqual(0, framing.framing([], []).length)
        self.assertEqual(12, framing.framing(["12"], []).length)
        self.assertEqual(12, framing.framing(["12", " 12 "], []).length)
        self.assertTrue(framing.framing([], ["Chunked"]).chunked)

    def test_contradicting_headers_are_rejected(self):
        for lengths, encodings in (
            (["12"], ["chunked"]),
            (["12", "13"], []),
            (["-1"], []),
            (["+1"], []),
            (["1_0"], []),
            ([""], []),
            (["9" * 20], []),
            ([], ["gzip, chunked"]),
            ([], ["chunked", "chunked"]),
        ):
            exc = self.assertRaises(
                request_errors.RequestError,
                framing.framing,
                lengths,
                encodings,
            )
            self.assertEqual(400, exc.status)

    def test_chunks_in_pieces_of_any_size(self):
        data = b'3\r\nabc\r\n0A ;x="y"\r\n0123456789\r\n0\r\nT: 1\r\n\r\nGET'
        for piece in range(1, len(data)):
            decoder, rest = decode(data, piece)
            self.assertEqual(b"abc0123456789", bytes(decoder.body))
            self.assertTrue(decoder.complete)
            self.assertEqual(b"GET", rest)

    def test_small_chunks_take_no_more_room_than_their_bytes(self):
        decoder, _ = decode(b"1\r\nx\r\n" * MAX_BODY + b"0\r\n\r\n", 50)
        self.assertEqual(MAX_BODY, len(decoder.body))
        self.assertEqual(MAX_BODY + 1, decoder.chunks)
        self.assertTrue(decoder.complete)
        self.assertTrue(sys.getsizeof(decoder.body) < 2 * MAX_BODY)

    def test_truncated_body_is_not_complete(self):
        data = b"3\r\nabc\r\n0\r\nT: 1\r\n\r\n"
        for end in range(1, len(data)):
            self.assertFalse(decode(data[:end])[0].complete)

    def test_malformed_chunks_are_rejected(self):
        for data, status in (
            (b"x\r\n", 400),
            (b"\r\n", 400),
            (b"-1\r\n", 400),
            (b"0x1\r\n", 400),
            (b"1\r\nab\r\n", 400),
            (b"f" * 16 + b"\r\n", 400),
            (b"%x\r\n" % (MAX_BODY + 1), 413),
            (b"3e8\r\n" + b"a" * MAX_BODY + b"\r\n1\r\n", 413),
            (b"1;" + b"x" * framing.MAX_SIZE_LINE_BYTES, 400),
            (b"1;" + b"x" * 1000 + b"\r\na\r\n", None),
            ((b"1;" + b"x" * 1000 + b"\r\na\r\n") * 17, 400),
            (b"0\r\n" + b"a: b\r\n" * framing.MAX_TRAILER_BYTES, 431),
            (b"0\r\n" + b"a" * (framing.MAX_TRAILER_BYTES + 1), 431),
        ):
            for piece in (None, 7):
                if status is None:
                    decode(data, piece)
                    continue
                exc = self.assertRaises(
                    request_errors.RequestError, decode, data, piece
                )
                self.assertEqual(status, exc.status, data[:20])


class LimitsTest(testtools.TestCase):
    def test_ports_stay_within_their_process(self):
        self.assertEqual(1, sum(limits.PORT_SHARES.values()))
        ports = [
            limits.port_limits(port, 4096, MEMORY_MB, MAX_FDS)
            for port in limits.Port
        ]
        connections = sum(port.max_connections for port in ports)
        self.assertTrue(
            connections * limits.FDS_PER_CONNECTION <= MAX_FDS - limits.FILE_FDS
        )
        self.assertTrue(
            sum(port.max_held_bytes for port in ports)
            + connections * limits.CONNECTION_BYTES
            <= MEMORY_MB * limits.BYTES_PER_MB * 3 / 8
        )

    def test_one_body_has_room_on_the_smallest_vm(self):
        port = limits.port_limits(limits.Port.PEERS, 2**21, 1, 1)
        self.assertTrue(port.max_held_bytes > 2**21)
        self.assertEqual(limits.MIN_CONNECTIONS, port.max_connections)

    def test_largest_unfinished_request_is_ended(self):
        small = limits.Load(State.READING, 0.0, held_bytes=10)
        large = limits.Load(State.READING, 5.0, held_bytes=20)
        older = limits.Load(State.READING, 4.0, held_bytes=20)
        answering = limits.Load(State.ANSWERING, 0.0, held_bytes=30)
        self.assertIs(
            older,
            limits.largest_unfinished([small, large, older, answering]),
        )
        self.assertIsNone(limits.largest_unfinished([answering]))

    def test_order_of_disconnection(self):
        # From the first to the last to be disconnected.
        loads = [
            limits.Load(State.CLOSING, 99.9),
            limits.Load(State.SENDING, 94.0, answered=True),
            limits.Load(State.READING, 97.0, answered=True),
            limits.Load(State.IDLE, 98.0),
            limits.Load(State.IDLE, 50.0, answered=True),
            limits.Load(State.IDLE, 99.0, answered=True),
            limits.Load(State.IDLE, 99.7),
            limits.Load(State.READING, 99.8),
        ]
        kept = [
            limits.Load(State.ANSWERING, 0.0),
            limits.Load(State.SENDING, 99.0),
        ]
        while loads:
            found = limits.first_to_disconnect(kept + loads[::-1], 100.0)
            self.assertIs(loads.pop(0), found)
        self.assertIsNone(limits.first_to_disconnect(kept, 100.0))
