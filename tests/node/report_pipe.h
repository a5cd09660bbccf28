#pragma once

#include <string>
#include <vector>

namespace jujubetide {

/// A pipe that stand-in processes inherit and write their reports to, a line at a time.
class report_pipe {
public:
    report_pipe();
    ~report_pipe();
    report_pipe(const report_pipe&) = delete;
    report_pipe& operator=(const report_pipe&) = delete;

    [[nodiscard]] int writing_end() const { return ends_[1]; }
    /// The whole lines that have come since the last call.
    std::vector<std::string> read();

private:
    int ends_[2] = {-1, -1};
    std::string rest_;
};

} // namespace jujubetide
