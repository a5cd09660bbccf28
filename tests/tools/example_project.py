"""A small project with a deploy file, for tests of the tools that build it."""
import json
import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = "cmake -S . -B target -DCMAKE_BUILD_TYPE=Release && cmake --build target --target program"
LISTED = ("cmake", "g++", "make")


class ExampleProject:
    """A checkout with one program, built by the command of its deploy file."""

    def __init__(self, folder, cmake="", source="int main() {}\n", packages=LISTED):
        self.folder = pathlib.Path(folder)
        self.checkout = self.folder / "checkout"
        (self.checkout / "deploy").mkdir(parents=True)
        self.write("CMakeLists.txt", "cmake_minimum_required(VERSION 3.25)\n"
                   "project(example LANGUAGES CXX)\nadd_executable(program main.cc)\n"
                   f"target_compile_options(program PRIVATE -Wall)\n{cmake}\n")
        self.write("main.cc", source)
        self.write("deploy/system.toml",
                   f'build = "{COMMAND}"\npackages = {json.dumps(list(packages))}\n')
        self.run("git", "init", "-q", str(self.checkout))

    def write(self, name, text):
        (self.checkout / name).write_text(text)

    def run(self, *words):
        return subprocess.run(words, capture_output=True, text=True, check=False)

    def build(self):
        return self.run(str(ROOT / "tools/build_deployed"), str(self.folder / "built"),
                        str(self.checkout))

    def check(self):
        return self.run(str(ROOT / "tools/check_packages"), str(self.folder / "built"))
