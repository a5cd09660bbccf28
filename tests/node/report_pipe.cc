#include "report_pipe.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace jujubetide {

report_pipe::report_pipe() {
    if (::pipe(ends_) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe");
    }
    constexpr int pipe_bytes = 1 << 20;
    (void)::fcntl(ends_[1], F_SETPIPE_SZ, pipe_bytes);
    (void)::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    (void)::fcntl(ends_[0], F_SETFD, FD_CLOEXEC);
}

report_pipe::~report_pipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
}

std::vector<std::string> report_pipe::read() {
    std::array<char, 65'536> bytes{};
    ssize_t count = 0;
    while ((count = ::read(ends_[0], bytes.data(), bytes.size())) > 0) {
        rest_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n', begin)) {
        lines.push_back(rest_.substr(begin, end - begin));
        begin = end + 1;
    }
    rest_.erase(0, begin);
    return lines;
}

} // namespace jujubetide
