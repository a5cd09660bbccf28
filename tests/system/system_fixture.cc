#include "system_fixture.h"

#include "support/eventually.h"

#include "jujubetide/platform/http_table.h"
#include "jujubetide/settings/settings_store.h"
#include "jujubetide/settings/sha256.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubetide {
namespace {

endpoint address_of(const child_process& process) {
    return parse_endpoint(process.listening()).value_or(endpoint{});
}

/// Binds a socket to a port, without sharing it in any way. Negative when that is not possible.
int bind_to(int type, std::uint16_t port) {
    const int bound = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{AF_INET, htons(port), {htonl(INADDR_LOOPBACK)}, {}};
    if (::bind(bound, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        return bound;
    }
    ::close(bound);
    return -1;
}

/// Keeps a port number from the other test processes until this one ends, by a UDP socket on it.
/// Returns whether no other process has it, and no connection that used it as a server's port
/// waits for its end: the servers of the HTTP library and of peers do not share such a port.
bool reserve_port(std::uint16_t port) {
    const int held = bind_to(SOCK_DGRAM, port);
    const int probe = held < 0 ? -1 : bind_to(SOCK_STREAM, port);
    if (probe >= 0) {
        ::close(probe);
        return true;
    }
    if (held >= 0) {
        ::close(held);
    }
    return false;
}

/// An address that a process can be started on again later: its port lies below those that the
/// system gives to outgoing connections, so that none of them takes it in between.
endpoint free_address() {
    constexpr unsigned first_port = 20'000;
    constexpr unsigned ports = 12'000;
    constexpr unsigned ports_of_process = 16;
    static unsigned next = static_cast<unsigned>(::getpid()) * ports_of_process;
    endpoint address{"127.0.0.1", 0};
    do {
        address.port = static_cast<std::uint16_t>(first_port + next++ % ports);
    } while (!reserve_port(address.port));
    return address;
}

std::string backend_document(const std::string& service, std::size_t index,
                             const child_process& process) {
    return absl::StrCat("service: ", service, "\nversion: v1\naddress: ", process.listening(),
                        "\nhost: ", service, "-host-", index, "\nfailure_domain: d", index, "\n");
}

} // namespace

system_fixture::system_fixture(int engine_count, int entry_count, int memory_mb)
    : memory_mb_(memory_mb) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "jujubetide-system-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    platform = std::make_unique<child_process>("platform-standin", std::vector<std::string>{});
    engines.resize(static_cast<std::size_t>(engine_count));
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engine_addresses_.push_back(free_address());
        start_engine(i);
    }
    plain.resize(2);
    for (std::size_t i = 0; i < plain.size(); ++i) {
        plain_addresses_.push_back(free_address());
        start_plain(i);
    }
    write_settings();
    for (int i = 0; i < entry_count; ++i) {
        peer_addresses_.push_back(free_address());
    }
    entries.resize(static_cast<std::size_t>(entry_count));
    for (std::size_t i = 0; i < entries.size(); ++i) {
        start_entry(i);
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        REQUIRE(wait_ready(i));
    }
}

system_fixture::~system_fixture() {
    controls.clear();
    entries.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void system_fixture::start_engine(std::size_t index) {
    engines[index].reset();
    engines[index] = std::make_unique<child_process>(
        "engine-standin",
        std::vector<std::string>{"--listen", engine_addresses_[index].str(), "--log-executions"},
        execution_log());
    REQUIRE_FALSE(engines[index]->listening().empty());
}

void system_fixture::start_plain(std::size_t index) {
    plain[index].reset();
    plain[index] = std::make_unique<child_process>(
        "plain-standin",
        std::vector<std::string>{"--listen", plain_addresses_[index].str(), "--log-executions"},
        execution_log());
    REQUIRE_FALSE(plain[index]->listening().empty());
}

std::map<std::string, int> system_fixture::executions() const {
    const std::string mark = "executed ";
    std::map<std::string, int> counts;
    std::ifstream log(execution_log());
    for (std::string line; std::getline(log, line);) {
        if (line.starts_with(mark)) {
            ++counts[line.substr(mark.size())];
        }
    }
    return counts;
}

void system_fixture::start_entry(std::size_t index) {
    start_process(entries[index], "entry", index, peer_addresses_[index]);
}

void system_fixture::start_control(std::size_t index) {
    while (controls.size() <= index) {
        controls.emplace_back();
        control_peer_addresses_.push_back(free_address());
    }
    start_process(controls[index], "control", index, control_peer_addresses_[index]);
}

void system_fixture::start_process(std::unique_ptr<child_process>& process, const std::string& role,
                                   std::size_t index, const endpoint& peer_address) const {
    process.reset();
    const std::string file = absl::StrCat(folder_, "/", role, "-", index, ".yaml");
    std::ofstream text(file);
    text << "node: " << role << "-" << index << "\nhost: " << role << "-host-" << index
         << "\nfailure_domain: d" << index
         << "\nregion: r\nlisten: 127.0.0.1:0\npeer_listen: " << peer_address.str()
         << "\nplatform: " << platform->listening() << "\nmemory_mb: " << memory_mb_
         << "\nhttp_threads: 96\ndrain_timeout_ms: 8000\nsettings_poll_ms: "
            "1000\nentries_lifetime_ms: 1000\nseeds: [";
    for (std::size_t i = 0; i < peer_addresses_.size(); ++i) {
        text << (i == 0 ? "" : ", ") << peer_addresses_[i].str();
    }
    text << "]\n";
    text.close();
    const char* const log = std::getenv("JUJUBETIDE_TEST_LOG");
    process = std::make_unique<child_process>("jujubetide-" + role,
                                              std::vector<std::string>{"--settings", file},
                                              log == nullptr ? "/dev/null" : log);
    REQUIRE_FALSE(process->listening().empty());
}

bool system_fixture::wait_ready(std::size_t index) const {
    return eventually([this, index] {
        const auto answer = http_call(entry(index), "GET", "/readyz", "", {});
        return answer.ok() && answer->status == 200;
    });
}

endpoint system_fixture::entry(std::size_t index) const {
    return address_of(*entries[index]);
}

void system_fixture::set_faults(const child_process& standin, const std::string& faults) {
    const auto answer = http_call(address_of(standin), "POST", "/faults", faults, {});
    REQUIRE(answer.ok());
    REQUIRE(answer->status == 200);
}

int system_fixture::executions_of_booking(const std::string& name) const {
    int count = 0;
    for (const auto& service : plain) {
        const auto answer = http_call(address_of(*service), "GET", "/counters", "", {});
        REQUIRE(answer.ok());
        count += nlohmann::json::parse(answer->body)["bookings"].value(name, 0);
    }
    return count;
}

void system_fixture::write_settings() const {
    settings_change change;
    change.id = change_id("first");
    change.author = operator_id("test");
    change.edits["/teams/frio/services/chat"] = "kind: model\nversion: v1\nroutes:\n  - id: chat\n";
    change.edits["/teams/frio/services/berth"] =
        "kind: plain\nversion: v1\nroutes:\n"
        "  - {id: book, method: POST, path_prefix: /, idempotent: false}\n"
        "  - {id: read, method: GET, path_prefix: /, idempotent: true}\n";
    change.edits["/teams/frio/customers/kitchen"] =
        absl::StrCat("key_sha256: ", sha256_hex(key), "\nservices: [chat, berth]\n");
    for (std::size_t i = 0; i < engines.size(); ++i) {
        change.edits[absl::StrCat("/teams/frio/backends/chat-", i)] =
            backend_document("chat", i, *engines[i]);
    }
    for (std::size_t i = 0; i < plain.size(); ++i) {
        change.edits[absl::StrCat("/teams/frio/backends/berth-", i)] =
            backend_document("berth", i, *plain[i]);
    }
    http_table rows(address_of(*platform));
    const auto applied = settings_store(rows).apply(change);
    INFO(applied.status().message());
    REQUIRE(applied.ok());
}

} // namespace jujubetide
