"""Tests of tools/run_tests, tools/known_red and tools/recheck_known_red with planted tests."""
import pathlib
import platform
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]


class RunTestsTest(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)
        (self.folder / "tools").mkdir()
        for name in "run_tests", "known_red", "recheck_known_red":
            shutil.copy(ROOT / "tools" / name, self.folder / "tools")

    def run_tests(self, sanitizer, entry, failing="part:planted"):
        """Runs one test that passes and one that fails; returns the result and 'PASSED FAILED'."""
        build = self.folder / "build"
        build.mkdir(exist_ok=True)
        (build / "CMakeCache.txt").write_text(f"JUJUBETIDE_SANITIZE:STRING={sanitizer}\n")
        (build / "CTestTestfile.cmake").write_text(
            f'add_test("part:sound" "true")\nadd_test("{failing}" "false")\n')
        (self.folder / "KNOWN-RED.txt").write_text(entry)
        result = self.folder / "result"
        run = subprocess.run([self.folder / "tools" / "run_tests", "build", result],
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
        return run, result.read_text().strip()

    def test_listed_test_is_passed_over_in_its_build(self):
        for sanitizer, build in (("", "plain"), ("address,undefined", "address"),
                                 ("thread", "plain, thread")):
            run, counts = self.run_tests(sanitizer, f"test: part:planted\nbuild: {build}\n")
            self.assertEqual((run.returncode, counts), (0, "1 0"), run.stdout)
            self.assertIn("known red: part:planted", run.stdout)

    def test_listed_test_fails_in_another_build(self):
        for sanitizer, build in ("", "thread"), ("", "address, thread"), ("thread", "plain"):
            run, counts = self.run_tests(sanitizer, f"test: part:planted\nbuild: {build}\n")
            self.assertEqual((run.returncode, counts), (1, "1 1"), run.stdout)
            self.assertIn("FAILED: part:planted", run.stdout)

    def test_listed_test_fails_on_another_architecture(self):
        for architecture, status in (platform.machine(), 0), ("pdp11", 1):
            run, _ = self.run_tests("thread", "test: part:planted\nbuild: thread\n"
                                              f"architecture: {architecture}\n")
            self.assertEqual(run.returncode, status, run.stdout)

    def test_build_of_one_entry_does_not_hold_for_the_next(self):
        run, _ = self.run_tests("", "test: part:other\nbuild: plain\n\n"
                                    "test: part:planted\nbuild: thread\n")
        self.assertEqual(run.returncode, 1, run.stdout)

    def test_entry_without_a_build_is_an_error(self):
        for entry in "test: part:planted\n", "test: part:planted\nbuild: release\n":
            run, _ = self.run_tests("", entry)
            self.assertEqual(run.returncode, 1, run.stdout)
            self.assertIn("no valid build", run.stdout)

    def test_part_of_a_listed_name_is_not_passed_over(self):
        run, _ = self.run_tests("", "test: part:planted and more\nbuild: plain\n")
        self.assertEqual(run.returncode, 1, run.stdout)

    def test_entry_without_a_build_fails_a_run_of_listed_failures(self):
        run, _ = self.run_tests("", "test: part:listed\n\ntest: part:planted\nbuild: plain\n")
        self.assertEqual(run.returncode, 1, run.stdout)

    def test_listed_test_that_no_longer_fails_is_reported(self):
        entry = "test: part:sound\ntest: part:planted (a.b)\ntest: part:gone\nbuild: plain\n"
        self.run_tests("", entry, failing="part:planted (a.b)")
        run = subprocess.run([self.folder / "tools" / "recheck_known_red", "build", "20"],
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=True)
        self.assertEqual(run.stdout.splitlines(),
                         ["passed 20 of 20 runs: part:sound", "failed again: part:planted (a.b)",
                          "not in this build: part:gone"])


if __name__ == "__main__":
    unittest.main()
