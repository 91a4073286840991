"""Tests of how the command line reads its token file."""

import contextlib
import io
import pathlib
import tempfile

import testtools

from wisterialug_cli import __main__, errors

SECRET = "s3cr3t-of-the-operators"


class TokenTest(testtools.TestCase):
    def run_with_token(self, content):
        """Runs a command; returns its exit code, output and token file."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        file = pathlib.Path(folder) / "token"
        if content is not None:
            file.write_bytes(content)
        out = io.StringIO()
        with contextlib.redirect_stderr(out), contextlib.redirect_stdout(out):
            code = __main__.run(
                ["table", "export"],
                {
                    "WISTERIALUG_SERVER": "http://127.0.0.1:9",
                    "WISTERIALUG_TOKEN_FILE": str(file),
                },
            )
        return code, out.getvalue(), str(file)

    def test_invalid_token_file_is_named_but_not_printed(self):
        for content in (
            f"{SECRET}\n{SECRET}\n".encode(),
            f"{SECRET}\r{SECRET}".encode(),
            f"Bearer {SECRET}".encode(),
            f"{SECRET}\0".encode(),
            f"{SECRET}\u00e9".encode(),
            b"",
            None,
        ):
            code, printed, file = self.run_with_token(content)
            self.assertEqual(errors.ExitCode.USAGE, code, printed)
            self.assertIn(file, printed)
            self.assertNotIn(SECRET, printed)

    def test_trailing_newline_is_accepted(self):
        code, printed, _ = self.run_with_token(f"{SECRET}\n".encode())
        self.assertEqual(errors.ExitCode.UNREACHABLE, code)
        self.assertNotIn(SECRET, printed)
