// Preloaded into a node program: its connections to backend servers, which listen on port 9000, go
// to the port that JUJUBETIDE_SOAK_LINK_PORT names, where the node's own proxy listens.
#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

extern "C" int connect(int file, const sockaddr* address, socklen_t length) {
    using connect_function = int (*)(int, const sockaddr*, socklen_t);
    static const auto next = reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
    constexpr std::uint16_t server_port = 9'000;
    const char* const text = std::getenv("JUJUBETIDE_SOAK_LINK_PORT");
    if (text == nullptr || address->sa_family != AF_INET) {
        return next(file, address, length);
    }
    sockaddr_in changed{};
    std::memcpy(&changed, address, sizeof(changed));
    if (ntohs(changed.sin_port) == server_port) {
        changed.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(text, nullptr, 10)));
    }
    return next(file, reinterpret_cast<const sockaddr*>(&changed), sizeof(changed));
}
