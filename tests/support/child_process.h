#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujubetide {

/// A program of the build's bin folder as a process of its own. Ends with the object that started
/// it.
class child_process {
public:
    /// Starts the program and waits until it prints `listening ADDRESS:PORT`, or ends. Its log goes
    /// to `log_file`, appended.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file = "/dev/null");
    /// Kills the process where it still runs.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// `ADDRESS:PORT`, or empty where the program ended without it.
    [[nodiscard]] const std::string& listening() const { return listening_; }
    [[nodiscard]] pid_t pid() const { return pid_; }
    void signal(int number) const;
    /// Waits for the end and returns the exit code; negative when a signal ended it.
    int wait();

private:
    pid_t pid_ = -1;
    std::string listening_;
    int exit_code_ = 0;
};

} // namespace jujubetide
