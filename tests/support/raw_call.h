#pragma once

#include "jujubetide/base/endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubetide {

/// Sends the bytes as they are, keeps the connection open and returns what the server answers until
/// it closes the connection or has been silent for `silence_ms` after its first bytes.
inline std::string raw_call(const endpoint& server, const std::string& bytes,
                            int silence_ms = 200) {
    constexpr int hang_ms = 60'000;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::string answer;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0) {
        std::array<char, 4096> buffer{};
        pollfd wait{socket, POLLIN, 0};
        while (::poll(&wait, 1, answer.empty() ? hang_ms : silence_ms) == 1) {
            const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                break;
            }
            answer.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    ::close(socket);
    return answer;
}

} // namespace jujubetide
