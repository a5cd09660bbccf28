// Minimal HTTP/1.1 over blocking sockets, for stand-ins with one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string str() const { return ip + ":" + std::to_string(port); }
    sockaddr_in native() const {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
        return result;
    }
};

/// A blocking socket; closed by the destructor.
class socket_handle {
public:
    explicit socket_handle(int fd = -1) : fd_(fd) {}
    socket_handle(socket_handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    socket_handle& operator=(socket_handle&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~socket_handle() {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }

    bool send_all(const std::string& bytes) const {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

private:
    int fd_;
};

inline socket_handle connect_to(const address& peer, int timeout_ms, int receive_buffer = 0) {
    socket_handle made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (receive_buffer > 0) {
        setsockopt(made.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const sockaddr_in to = peer.native();
    if (::connect(made.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd waiting{made.fd(), POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeout_ms) != 1 ||
            getsockopt(made.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return socket_handle();
        }
    }
    const int flags = ::fcntl(made.fd(), F_GETFL);
    ::fcntl(made.fd(), F_SETFL, flags & ~O_NONBLOCK);
    constexpr int enabled = 1;
    setsockopt(made.fd(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return made;
}

/// The first line, the headers in lower case and the body of a message.
struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [known, value] : headers) {
            if (known == name) {
                return value;
            }
        }
        return "";
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const std::size_t begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(first_line.substr(first_line.find(' ') + 1).c_str()); }
};

/// Reads the messages of a connection one after the other.
class message_reader {
public:
    explicit message_reader(const socket_handle& from) : from_(from) {}

    /// Nothing if the connection ends, or `deadline` passes, before a whole message is there.
    std::optional<message> read(std::chrono::steady_clock::time_point deadline =
                                    std::chrono::steady_clock::time_point::max()) {
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message result;
        std::size_t begin = 0;
        while (begin < head_end) {
            const std::size_t end = std::min(buffer_.find("\r\n", begin), head_end);
            add_line(result, buffer_.substr(begin, end - begin));
            begin = end + 2;
        }
        buffer_.erase(0, head_end + 4);
        if (result.header("transfer-encoding") == "chunked") {
            return read_chunks(deadline, result) ? std::optional(result) : std::nullopt;
        }
        const std::size_t length =
            std::strtoul(result.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        result.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return result;
    }
    /// Bytes that were received after the last message.
    const std::string& rest() const { return buffer_; }

private:
    static void add_line(message& to, const std::string& line) {
        if (to.first_line.empty()) {
            to.first_line = line;
            return;
        }
        const std::size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        to.headers.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
    }
    bool read_chunks(std::chrono::steady_clock::time_point deadline, message& into) {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            into.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    bool fill(std::chrono::steady_clock::time_point deadline) {
        int wait_ms = -1;
        if (deadline != std::chrono::steady_clock::time_point::max()) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
            wait_ms = static_cast<int>(std::max<std::int64_t>(0, left.count()));
        }
        pollfd waiting{from_.fd(), POLLIN, 0};
        if (::poll(&waiting, 1, wait_ms) != 1) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(from_.fd(), bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    const socket_handle& from_;
    std::string buffer_;
};

/// Accepts connections; each has a thread, which ends with it.
class server {
public:
    using handler = std::function<void(const socket_handle&)>;

    server(const address& at, handler serve) : serve_(std::move(serve)) {
        listener_ = socket_handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        constexpr int enabled = 1;
        setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        const sockaddr_in to = at.native();
        if (::bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
            ::listen(listener_.fd(), 512) != 0) {
            throw std::runtime_error("cannot listen on " + at.str());
        }
        std::thread([fd = listener_.fd(), serve = serve_] {
            for (;;) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([accepted, serve] {
                    constexpr int no_delay = 1;
                    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
                    serve(socket_handle(accepted));
                }).detach();
            }
        }).detach();
    }

private:
    handler serve_;
    socket_handle listener_;
};

inline std::string response(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace standin
