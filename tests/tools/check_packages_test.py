"""Tests of tools/check_packages."""
import pathlib
import tempfile
import unittest

from example_project import LISTED, ExampleProject


class CheckPackagesTest(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name

    def check(self, **options):
        project = ExampleProject(self.folder, **options)
        built = project.build()
        self.assertEqual(built.returncode, 0, built.stdout + built.stderr)
        return project.check()

    def assert_fault(self, checked, kind, package):
        faults = [line for line in checked.stdout.splitlines() if line.startswith(f"{kind} /")]
        self.assertEqual(checked.returncode, 1, checked.stdout + checked.stderr)
        self.assertTrue(any(line.endswith(f": package {package} is not listed") for line in faults),
                        checked.stdout + checked.stderr)

    def test_listed_packages_pass(self):
        checked = self.check()
        self.assertEqual(checked.returncode, 0, checked.stdout + checked.stderr)

    def test_unlisted_header_fails(self):
        self.assert_fault(self.check(source="#include <nghttp2/nghttp2ver.h>\nint main() {}\n"),
                          "header", "libnghttp2-dev")

    def test_listed_header_passes(self):
        checked = self.check(source="#include <nghttp2/nghttp2ver.h>\nint main() {}\n",
                             packages=(*LISTED, "libnghttp2-dev"))
        self.assertEqual(checked.returncode, 0, checked.stdout + checked.stderr)

    def test_unlisted_linked_library_fails(self):
        self.assert_fault(self.check(cmake="target_link_libraries(program PRIVATE nghttp2)"),
                          "library", "libnghttp2-dev")

    def test_compiler_cache_found_by_chance_fails(self):
        cmake = ("find_program(CCACHE ccache)\n"
                 "set_target_properties(program PROPERTIES CXX_COMPILER_LAUNCHER ${CCACHE})")
        self.assert_fault(self.check(cmake=cmake), "tool", "ccache")

    def test_unlisted_tool_run_while_configuring_fails(self):
        cmake = "execute_process(COMMAND ninja --version COMMAND_ERROR_IS_FATAL ANY)"
        self.assert_fault(self.check(cmake=cmake), "tool", "ninja-build")

    def test_unlisted_tool_named_by_its_path_fails(self):
        cmake = "add_custom_command(TARGET program POST_BUILD COMMAND /usr/bin/ninja --version)"
        self.assert_fault(self.check(cmake=cmake), "tool", "ninja-build")

    def test_header_of_no_package_fails(self):
        header = pathlib.Path(self.folder) / "installed_by_hand.h"
        header.write_text("")
        checked = self.check(source=f'#include "{header}"\nint main() {{}}\n')
        self.assertEqual(checked.returncode, 1, checked.stdout + checked.stderr)
        self.assertIn(f"header {header}: belongs to no package", checked.stdout)

    def test_recommended_tool_fails(self):
        self.assert_fault(self.check(packages=("cmake", "g++")), "tool", "make")

    def test_unlisted_cmake_package_fails(self):
        self.assert_fault(self.check(cmake="find_package(Catch2 2 REQUIRED)"),
                          "package file", "catch2")

    def test_unlisted_pkg_config_module_fails(self):
        cmake = "find_package(PkgConfig REQUIRED)\npkg_check_modules(nghttp2 REQUIRED libnghttp2)"
        self.assert_fault(self.check(cmake=cmake, packages=(*LISTED, "pkg-config")),
                          "package file", "libnghttp2-dev")

    def test_package_that_is_not_installed_fails(self):
        checked = self.check(packages=(*LISTED, "no-such-package"))
        self.assertEqual(checked.returncode, 1)
        self.assertIn("no-such-package: listed but not installed", checked.stdout)


if __name__ == "__main__":
    unittest.main()
