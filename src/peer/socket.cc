#include "peer/socket.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubetide {
namespace {

absl::Status socket_error(const std::string& what) {
    return absl::UnavailableError(absl::StrCat(what, ": ", std::string(std::strerror(errno))));
}

absl::StatusOr<sockaddr_in> to_sockaddr(const endpoint& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.address.c_str(), &result.sin_addr) != 1) {
        return absl::InvalidArgumentError(absl::StrCat("not an address: ", address.str()));
    }
    return result;
}

absl::StatusOr<unique_fd> new_socket() {
    unique_fd made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (made.get() < 0) {
        return socket_error("socket");
    }
    return made;
}

void set_no_delay(const unique_fd& socket) {
    const int on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

void unique_fd::reset() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
    fd_ = -1;
}

absl::StatusOr<unique_fd> listen_on(const endpoint& address) {
    constexpr int backlog = 512;
    const auto target = to_sockaddr(address);
    auto made = new_socket();
    if (!target.ok() || !made.ok()) {
        return target.ok() ? made.status() : target.status();
    }
    const int on = 1;
    ::setsockopt(made->get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(made->get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target) != 0 ||
        ::listen(made->get(), backlog) != 0) {
        return socket_error(absl::StrCat("listen on ", address.str()));
    }
    return made;
}

absl::StatusOr<endpoint> local_endpoint(const unique_fd& socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return socket_error("getsockname");
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return endpoint{text.data(), ntohs(address.sin_port)};
}

absl::StatusOr<unique_fd> connect_to(const endpoint& address) {
    const auto target = to_sockaddr(address);
    auto made = new_socket();
    if (!target.ok() || !made.ok()) {
        return target.ok() ? made.status() : target.status();
    }
    set_no_delay(*made);
    if (::connect(made->get(), reinterpret_cast<const sockaddr*>(&*target), sizeof *target) != 0 &&
        errno != EINPROGRESS) {
        return socket_error(absl::StrCat("connect to ", address.str()));
    }
    return made;
}

bool connected(const unique_fd& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

unique_fd accept_from(const unique_fd& listener) {
    unique_fd made(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (made.get() >= 0) {
        set_no_delay(made);
    }
    return made;
}

absl::StatusOr<std::pair<unique_fd, unique_fd>> make_pipe() {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return socket_error("pipe");
    }
    return std::pair(unique_fd(ends[0]), unique_fd(ends[1]));
}

} // namespace jujubetide
