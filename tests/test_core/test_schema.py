"""Tests that the committed code matches the schema."""

import pathlib
import shutil
import subprocess
import tempfile

import testtools

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE_PATH = "wisterialug_core/schema"


class SchemaTest(testtools.TestCase):
    def test_generated_code_is_up_to_date(self):
        if shutil.which("protoc-gen-grpclib_python") is None:
            self.skipTest("the generator is not installed")
        with tempfile.TemporaryDirectory() as folder:
            subprocess.run([ROOT / "schema/generate.sh", folder], check=True)
            committed = ROOT / "packages/wisterialug-core/src" / PACKAGE_PATH
            for file in (pathlib.Path(folder) / PACKAGE_PATH).iterdir():
                self.assertEqual(
                    (committed / file.name).read_text(),
                    file.read_text(),
                    f"{file.name}: run make schema",
                )
