#pragma once

#include <string>

namespace jujubetide {

/// Lines of a stand-in process to the test, over an inherited pipe. A line has left the process
/// when `write` returns.
class soak_report {
public:
    explicit soak_report(int file) : file_(file) {}
    /// `line` has no line end and is shorter than what a pipe takes at once.
    void write(std::string line) const;

private:
    int file_;
};

} // namespace jujubetide
