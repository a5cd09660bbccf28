#include "support/blocking_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubetide::testing {

blocking_peer::blocking_peer(std::function<void(int)> act)
    : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0) {
        throw std::runtime_error("cannot bind a port of the loopback address");
    }
    ::listen(listener_, 1);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, act = std::move(act)] {
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket >= 0) {
            act(socket);
        }
    });
}

blocking_peer::~blocking_peer() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void send_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t now = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (now <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(now);
    }
}

std::string read_until(int socket, const std::string& end) {
    std::string got;
    char byte = 0;
    while (got.find(end) == std::string::npos && ::recv(socket, &byte, 1, 0) == 1) {
        got += byte;
    }
    return got;
}

void reset(int socket) {
    const linger now{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(socket);
}

int connect_to(const endpoint& to) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error("cannot connect to " + to.str());
    }
    return socket;
}

} // namespace jujubetide::testing
