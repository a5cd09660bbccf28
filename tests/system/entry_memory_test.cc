// The memory of the entry program while engines, services or callers make it buffer without end.
#include "support/blocking_peer.h"
#include "support/eventually.h"
#include "support/raw_call.h"
#include "system_fixture.h"

#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/settings_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace jujubetide;

namespace {

constexpr int memory_mb = 200;

/// A server that answers on each connection without end, on threads of its own.
class endless_answers {
public:
    endless_answers() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        constexpr int backlog = 256;
        sockaddr_in address{AF_INET, 0, {htonl(INADDR_LOOPBACK)}, {}};
        socklen_t length = sizeof address;
        auto* const general = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(listener_, general, length) == 0);
        REQUIRE(::listen(listener_, backlog) == 0);
        REQUIRE(::getsockname(listener_, general, &length) == 0);
        address_ = {"127.0.0.1", ntohs(address.sin_port)};
        accepting_ = std::thread([this] { accept_all(); });
    }
    ~endless_answers() {
        is_over_ = true;
        accepting_.join();
        for (std::thread& one : answering_) {
            one.join();
        }
        ::close(listener_);
    }
    endless_answers(const endless_answers&) = delete;
    endless_answers& operator=(const endless_answers&) = delete;
    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    void accept_all() {
        constexpr int poll_ms = 10;
        pollfd incoming{listener_, POLLIN, 0};
        while (!is_over_) {
            if (::poll(&incoming, 1, poll_ms) == 1) {
                const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
                ++connections_;
                answering_.emplace_back([this, socket] { answer(socket); });
            }
        }
    }
    void answer(int socket) const {
        const timeval limit{0, 100'000};
        ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
        bool is_open = true;
        while (is_open && !is_over_) {
            const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            is_open = sent >= 0 || errno == EAGAIN;
            if (sent == static_cast<ssize_t>(bytes.size())) {
                bytes.assign(32'768, 'a');
            } else if (sent > 0) {
                bytes.erase(0, static_cast<std::size_t>(sent));
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        ::close(socket);
    }

    int listener_;
    endpoint address_;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> is_over_{false};
    std::vector<std::thread> answering_;
    std::thread accepting_;
};

/// Adds a server to the settings that the fixture wrote.
void add_server(const system_fixture& system, const std::string& service, const endpoint& address) {
    http_table rows(*parse_endpoint(system.platform->listening()));
    settings_change change;
    change.id = change_id("second");
    change.author = operator_id("test");
    change.expected = revision(1);
    change.edits[absl::StrCat("/teams/frio/backends/", service, "-endless")] =
        absl::StrCat("service: ", service, "\nversion: v1\naddress: ", address.str(),
                     "\nhost: ", service, "-host-endless\nfailure_domain: d0\n");
    REQUIRE(settings_store(rows).apply(change).ok());
}

/// The most memory that the running process has had, in bytes.
std::size_t peak_memory(const child_process& process) {
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word && word != "VmHWM:") {
    }
    status >> kilobytes;
    return kilobytes << 10U;
}

void check_memory(const system_fixture& system) {
    const std::size_t peak = peak_memory(*system.entries[0]);
    CHECK(peak > 0);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    // What a sanitizer keeps for itself counts as the process's memory.
    CHECK(peak < static_cast<std::size_t>(memory_mb) << 20U);
#endif
}

} // namespace

TEST_CASE("an entry does not run out of memory when an engine reports its load without end") {
    const endless_answers engine;
    const system_fixture system(1, 1, memory_mb);
    add_server(system, "chat", engine.address());
    // Several polls have been read as far as the entry wants to.
    REQUIRE(eventually([&] { return engine.connections() >= 4; }));
    CHECK(system.caller().stream("chat", "hello", 4).whole);
    check_memory(system);
}

TEST_CASE("an entry does not run out of memory when a service answers many calls without end") {
    constexpr int calls = 60;
    const endless_answers service;
    const system_fixture system(0, 1, memory_mb);
    for (const auto& sound : system.plain) {
        sound->signal(SIGKILL); // So that calls go to the endless server.
    }
    add_server(system, "berth", service.address());
    REQUIRE(eventually([&] {
        (void)system.caller().call("GET", "/s/berth/read", "");
        return service.connections() > 0;
    }));
    std::vector<std::thread> callers;
    std::atomic<int> ended{0};
    callers.reserve(calls);
    for (int i = 0; i < calls; ++i) {
        callers.emplace_back([&] {
            (void)system.caller().call("GET", "/s/berth/read", "");
            ++ended;
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(ended == calls);
    check_memory(system);
}

TEST_CASE("an entry does not run out of memory when many callers send large bodies together") {
    constexpr int calls = 60;
    constexpr std::size_t length = std::size_t{6} << 20U;
    const system_fixture system(0, 1, memory_mb);
    // The last byte never comes.
    const std::string bytes =
        absl::StrCat("POST /s/berth/book HTTP/1.1\r\nHost: h\r\nContent-Length: ", length,
                     "\r\n\r\n", std::string(length - 1, 'b'));
    std::vector<std::thread> callers;
    std::atomic<int> refused{0};
    callers.reserve(calls);
    for (int i = 0; i < calls; ++i) {
        callers.emplace_back([&] {
            if (raw_call(system.entry(0), bytes).find("node_memory") != std::string::npos) {
                ++refused;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(refused > 0);
    check_memory(system);
    // What these took is free again.
    const std::string large = R"({"booking": "b1", "note": ")" + std::string(900'000, 'n') + "\"}";
    const auto booked = system.caller().call("POST", "/s/berth/book", large);
    REQUIRE(booked.ok());
    CHECK(booked->status == 200);
}

TEST_CASE("an entry has the memory again of callers that leave amid their bodies") {
    constexpr int calls = 60;
    const system_fixture system(0, 1, memory_mb);
    for (int i = 0; i < calls; ++i) {
        const int socket = testing::connect_to(system.entry(0));
        testing::send_all(socket, "POST /s/berth/book HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                  "6000000\r\n\r\n{");
        ::close(socket);
    }
    const std::string large = R"({"booking": "b1", "note": ")" + std::string(900'000, 'n') + "\"}";
    CHECK(eventually([&] {
        const auto booked = system.caller().call("POST", "/s/berth/book", large);
        return booked.ok() && booked->status == 200;
    }));
}
