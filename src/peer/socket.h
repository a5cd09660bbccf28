#pragma once

#include "jujubetide/base/endpoint.h"

#include <absl/status/statusor.h>

#include <utility>

namespace jujubetide {

/// Owns a file descriptor.
class unique_fd {
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    ~unique_fd() { reset(); }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept {
        reset();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }

    [[nodiscard]] int get() const { return fd_; }
    void reset();

private:
    int fd_ = -1;
};

/// A non-blocking listening socket.
absl::StatusOr<unique_fd> listen_on(const endpoint& address);
absl::StatusOr<endpoint> local_endpoint(const unique_fd& socket);
/// A non-blocking socket whose connection is under way.
absl::StatusOr<unique_fd> connect_to(const endpoint& address);
/// Whether the connection came about.
bool connected(const unique_fd& socket);
/// The next waiting connection; an invalid one when there is none.
unique_fd accept_from(const unique_fd& listener);
/// Read and write ends of a non-blocking pipe.
absl::StatusOr<std::pair<unique_fd, unique_fd>> make_pipe();

} // namespace jujubetide
