// The memory of the entry program while engines, services or callers make it buffer without end.
#include "support/blocking_peer.h"
#include "support/endless_server.h"
#include "support/eventually.h"
#include "support/raw_call.h"
#include "system_fixture.h"

#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/settings_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace jujubetide;

namespace {

constexpr int memory_mb = 200;
const std::string plain_head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

/// A server without end on an event loop and a thread of its own.
class endless_process {
public:
    explicit endless_process(const std::string& head) {
        std::atomic<bool> is_ready{false};
        thread_ = std::thread([this, head, &is_ready] {
            event_loop loop;
            endless_server server(loop, head, "a");
            address_ = server.address();
            is_ready = true;
            const auto looking = loop.every(millis{10}, millis{10}, [&] {
                connections_ = server.connections();
                if (is_over_) {
                    loop.stop();
                }
            });
            loop.run();
        });
        while (!is_ready) {
            std::this_thread::yield();
        }
    }
    ~endless_process() {
        is_over_ = true;
        thread_.join();
    }
    endless_process(const endless_process&) = delete;
    endless_process& operator=(const endless_process&) = delete;
    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    endpoint address_;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> is_over_{false};
    std::thread thread_;
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
    const endless_process engine(plain_head);
    const system_fixture system(1, 1, memory_mb);
    add_server(system, "chat", engine.address());
    // Several polls have been read as far as the entry wants to.
    REQUIRE(eventually([&] { return engine.connections() >= 4; }));
    CHECK(system.caller().stream("chat", "hello", 4).whole);
    check_memory(system);
}

TEST_CASE("an entry does not run out of memory when a service answers many calls without end") {
    constexpr int calls = 60;
    const endless_process service(plain_head);
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
