"""Tests of cmake/source_identity.cmake and of what a failed build leaves behind."""
import pathlib
import shutil
import subprocess
import tempfile
import tomllib
import unittest

from example_project import ROOT

CMAKE = """cmake_minimum_required(VERSION 3.25)
include(cmake/source_identity.cmake)
set(identity ${CMAKE_BINARY_DIR}/generated/identity.cc)
jt_write_source_identity(${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/identity.cc.in ${identity}
    ${CMAKE_BINARY_DIR}/bin/juju*)
project(example LANGUAGES CXX)
add_custom_target(identity COMMAND ${CMAKE_COMMAND} -DSOURCE=${CMAKE_SOURCE_DIR}
    -DTEMPLATE=${CMAKE_SOURCE_DIR}/identity.cc.in -DOUTPUT=${identity}
    "-DPROGRAMS=${CMAKE_BINARY_DIR}/bin/juju*" -P ${CMAKE_SOURCE_DIR}/cmake/source_identity.cmake
    BYPRODUCTS ${identity} VERBATIM)
add_executable(jujubetide-node platform/main.cc ${identity})
add_dependencies(jujubetide-node identity)
set_target_properties(jujubetide-node PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
"""
MAIN = "#include <cstdio>\nconst char* identity();\nint main() { std::puts(identity()); }\n"


class SourceIdentityTest(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.checkout = pathlib.Path(scratch.name) / "checkout"
        for folder in ("cmake", "platform"):
            (self.checkout / folder).mkdir(parents=True)
        shutil.copy(ROOT / "cmake/source_identity.cmake", self.checkout / "cmake")
        self.write("CMakeLists.txt", CMAKE)
        self.write("identity.cc.in",
                   'const char* identity() { return "@JUJUBETIDE_SOURCE_IDENTITY@"; }\n')
        self.write("platform/main.cc", MAIN)
        self.program = self.checkout / "target/bin/jujubetide-node"

    def write(self, name, text):
        (self.checkout / name).write_text(text)

    def build(self):
        """Runs the build command of the project's own deploy file."""
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
        return subprocess.run(["/bin/sh", "-c", command], cwd=self.checkout, capture_output=True,
                              text=True, check=False)

    def identity(self):
        return subprocess.run(["cmake", "-P", "cmake/source_identity.cmake"], cwd=self.checkout,
                              capture_output=True, text=True, check=True).stdout.strip()

    def built_identity(self):
        built = self.build()
        self.assertEqual(built.returncode, 0, built.stdout + built.stderr)
        return subprocess.run([str(self.program)], capture_output=True, text=True,
                              check=True).stdout.strip()

    def test_program_names_the_sources_that_it_was_built_from(self):
        first = self.built_identity()
        self.assertEqual(first, self.identity())
        self.write("platform/main.cc", MAIN + "// Changed.\n")
        self.assertNotEqual(self.identity(), first)
        self.assertEqual(self.built_identity(), self.identity())
        self.write("platform/main.cc", MAIN)
        self.assertEqual(self.built_identity(), first)

    def test_new_file_changes_the_identity(self):
        before = self.identity()
        self.write("platform/added.h", "")
        self.assertNotEqual(self.identity(), before)

    def test_failed_build_leaves_no_older_program(self):
        self.built_identity()
        self.write("platform/main.cc", "no C++\n")
        self.assertNotEqual(self.build().returncode, 0)
        self.assertFalse(self.program.exists())

    def test_failed_configuration_leaves_no_older_program(self):
        self.built_identity()
        self.write("CMakeLists.txt", CMAKE + "find_package(no_such_package REQUIRED)\n")
        self.assertNotEqual(self.build().returncode, 0)
        self.assertFalse(self.program.exists())

    def test_interrupted_build_leaves_no_older_program(self):
        self.built_identity()
        self.write("platform/main.cc", "no C++\n")
        subprocess.run(["cmake", "--build", "target"], cwd=self.checkout, capture_output=True,
                       check=False)  # Without the command's own cleaning.
        self.assertFalse(self.program.exists())

    def test_failure_without_a_change_of_the_sources_leaves_no_program(self):
        self.write("platform/main.cc", '#include "../installed.h"\n' + MAIN)
        self.write("installed.h", "")
        self.built_identity()
        self.write("installed.h", "no C++\n")
        self.assertNotEqual(self.build().returncode, 0)
        self.assertFalse(self.program.exists())

    def test_failed_build_of_the_tools_leaves_no_program(self):
        (self.checkout / "tools").mkdir()
        shutil.copy(ROOT / "tools/build", self.checkout / "tools")
        self.write("platform/main.cc", '#include "../installed.h"\n' + MAIN)
        self.write("installed.h", "")
        program = self.checkout / "build/bin/jujubetide-node"
        command = [str(self.checkout / "tools/build"), "build"]
        subprocess.run(command, capture_output=True, check=True)
        self.assertTrue(program.exists())
        self.write("installed.h", "no C++\n")
        self.assertNotEqual(subprocess.run(command, capture_output=True, check=False).returncode, 0)
        self.assertFalse(program.exists())


if __name__ == "__main__":
    unittest.main()
