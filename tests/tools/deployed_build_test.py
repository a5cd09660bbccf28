"""Tests of tools/build_deployed and of the compiler's warnings in users' builds."""
import json
import pathlib
import subprocess
import tempfile
import unittest

from example_project import ROOT, ExampleProject


class DeployedBuildTest(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name

    def test_build_reads_no_ignored_file(self):
        project = ExampleProject(self.folder, source='#include "left.h"\nint main() {}\n')
        project.write(".gitignore", "left.h\n")
        project.write("left.h", "")
        self.assertNotEqual(project.build().returncode, 0)

    def test_warning_fails_the_continuous_integration(self):
        built = ExampleProject(self.folder, source="int main() { int unused; }\n").build()
        self.assertEqual(built.returncode, 1)
        self.assertIn("-Wunused-variable", built.stdout)

    def test_warning_does_not_stop_users(self):
        for option, stops in ((), False), (("-DCMAKE_COMPILE_WARNING_AS_ERROR=ON",), True):
            subprocess.run(["cmake", "-S", str(ROOT), "-B", self.folder, "-DJUJUBETIDE_NODE_ONLY=ON",
                            *option], capture_output=True, check=True)
            commands = json.loads((pathlib.Path(self.folder) / "compile_commands.json").read_text())
            self.assertTrue(commands)
            for entry in commands:
                self.assertEqual("-Werror" in entry["command"].split(), stops, entry["command"])


if __name__ == "__main__":
    unittest.main()
