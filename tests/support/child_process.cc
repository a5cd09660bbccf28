#include "support/child_process.h"

#include <array>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujubetide {
namespace {

/// Test programs stand in build/tests, programs in build/bin.
std::string path_of(const std::string& program) {
    const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path() / "bin" / program).string();
}

std::string read_listening(int file) {
    const std::string prefix = "listening ";
    std::FILE* const stream = ::fdopen(file, "r");
    std::array<char, 256> line{};
    const bool has_line = std::fgets(line.data(), line.size(), stream) != nullptr;
    (void)std::fclose(stream);
    std::string text = has_line ? line.data() : "";
    if (!text.starts_with(prefix)) {
        return "";
    }
    text.erase(0, prefix.size());
    text.erase(text.find_last_not_of('\n') + 1);
    return text;
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_file) {
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0) {
        return;
    }
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    constexpr mode_t log_mode = 0600;
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, log_mode);
    std::string path = path_of(program);
    std::vector<std::string> owned = arguments;
    std::vector<char*> argv{path.data()};
    for (std::string& argument : owned) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    if (::posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        pid_ = -1;
    }
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    listening_ = read_listening(pipe[0]);
}

child_process::~child_process() {
    signal(SIGKILL);
    (void)wait();
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

int child_process::wait() {
    if (pid_ <= 0) {
        return exit_code_;
    }
    int status = 0;
    (void)::waitpid(pid_, &status, 0);
    pid_ = -1;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return exit_code_;
}

} // namespace jujubetide
