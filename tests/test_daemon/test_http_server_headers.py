"""Headers that can't be understood and would hide a body's length."""

from tests.test_daemon import test_http_server_limits

HIDDEN = test_http_server_limits.LAST_GET


class HiddenLengthTest(test_http_server_limits.ServerTest):
    def check_rejected(self, lines):
        """A body must not be answered as a request of its own."""
        data = test_http_server_limits.HEAD + lines + b"\r\n" + HIDDEN
        self.assertEqual([400], self.statuses(data))
        self.assertEqual([], self.bodies)

    def length(self, name):
        return name + b" %d\r\n" % len(HIDDEN)

    def test_blank_before_the_colon_hides_the_length(self):
        self.check_rejected(self.length(b"Content-Length :"))

    def test_line_without_a_colon_hides_the_length(self):
        self.check_rejected(b"foo bar\r\n" + self.length(b"Content-Length:"))

    def test_blank_before_the_colon_hides_chunks(self):
        self.check_rejected(b"Transfer-Encoding : chunked\r\n")

    def test_bare_carriage_return_makes_a_header(self):
        self.check_rejected(b"A: b\r" + self.length(b"Content-Length:"))
