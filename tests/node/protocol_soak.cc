#include "protocol_soak.h"

#include "support/loop_runner.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace jujubetide {
namespace {

using json = nlohmann::json;

constexpr std::uint16_t server_port = 9'000;
constexpr int first_engine = 100;
constexpr int first_engine_proxy = 140;
constexpr int first_node_proxy = 180;
constexpr int caller_processes = 4;
constexpr int engine_slots = 6;
constexpr std::size_t max_findings = 6;
/// The nodes with paths of their own to the backend servers, which may be lost.
constexpr int linked_nodes = 3;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool has_links = false; // Sanitizers allow no library before their own.
#else
constexpr bool has_links = true;
#endif
/// The time in which calls end after the callers have stopped.
constexpr millis end_time{4'000};

const std::vector<std::string>& routes() {
    static const std::vector<std::string> names{"once1",   "once2",   "often1",   "often2",
                                                "stream1", "stream2", "resumed1", "resumed2"};
    return names;
}

bool is_stream(const std::string& route) {
    return route.starts_with("stream") || route.starts_with("resumed");
}

json route_of(const std::string& name, random_source& random) {
    const std::string kind = is_stream(name)             ? "streaming"
                             : name.starts_with("often") ? "idempotent"
                                                         : "non_idempotent";
    json route{{"name", name},
               {"host", "h.example"},
               {"prefix", "/" + name + "/"},
               {"kind", kind},
               {"timeoutMs", 1'000 + random.below(2'000)},
               {"targetLatencyMs", 500},
               {"service", is_stream(name) ? "model" : "plain"},
               {"maxAttempts", name.back() - '0'},
               {"priority", 1},
               {"targetGapMs", 500}};
    if (name.starts_with("resumed")) {
        route["streamResume"] = true;
    }
    return route;
}

} // namespace

protocol_soak::protocol_soak(const soak_shape& shape, std::uint64_t seed, bool own_copies)
    : shape_(shape), seed_(seed), own_copies_(own_copies), random_(seed),
      kept_folder_(std::getenv("JUJUBETIDE_SOAK_FOLDER")),
      folder_(kept_folder_ != nullptr ? std::filesystem::path(kept_folder_)
                                      : std::filesystem::temp_directory_path() /
                                            ("jujubetide-protocol-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
    put_configuration();
    for (int i = 0; i < shape.engines + shape.plain_servers; ++i) {
        auto place = std::make_unique<engine_place>();
        place->listen = {process_address(first_engine + i), server_port};
        place->listed = i % 2 == 0 ? place->listen
                                   : endpoint{process_address(first_engine_proxy + i), server_port};
        place->streams = i < shape.engines;
        place->zone = i % shape.zones;
        start_engine(*place, next_engine_id());
        put_row(*place, "ready");
        engines_.push_back(std::move(place));
    }
    for (int i = 1; i <= shape.nodes; ++i) {
        start_node(i);
    }
    start_proxies();
}

void protocol_soak::start_node(int index) {
    auto place = std::make_unique<node_place>();
    constexpr int memory_mb = 260;
    place->process =
        std::make_unique<node_process>(folder_, index, store_server_.address(), std::nullopt,
                                       memory_mb, absl::StrCat("z", index % shape_.zones));
    if (has_links && index <= linked_nodes) {
        start_link(*place, index);
    }
    place->process->start();
    nodes_.push_back(std::move(place));
}

void protocol_soak::start_link(node_place& place, int index) {
    const auto port = static_cast<std::uint16_t>(server_port + index);
    std::vector<std::string> paths;
    for (const auto& engine : engines_) {
        paths.push_back(endpoint{engine->listed.address, port}.str() + "/" + engine->listed.str());
    }
    std::vector<std::string> arguments = common_arguments("proxy");
    arguments.push_back("paths=" + absl::StrJoin(paths, ","));
    place.link = std::make_unique<child_process>("soak-standin", arguments,
                                                 (folder_ / "standins.err").string());
    const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
    const auto library = self.parent_path().parent_path() / "bin" / "libsoak-links.so";
    place.process->add_environment("LD_PRELOAD=" + library.string());
    place.process->add_environment(absl::StrCat("JUJUBETIDE_SOAK_LINK_PORT=", port));
}

protocol_soak::~protocol_soak() {
    callers_.clear();
    nodes_.clear();
    proxies_.clear();
    engines_.clear();
    if (kept_folder_ != nullptr) {
        return;
    }
    std::error_code ignored; // A log that cannot be removed harms no later run.
    std::filesystem::remove_all(folder_, ignored);
}

void protocol_soak::after(micros delay, std::function<void()> action) {
    timers_.push_back(loop_.once(delay, std::move(action)));
}

std::string protocol_soak::next_engine_id() {
    return absl::StrCat("i-", ++engines_started_);
}

std::vector<std::string> protocol_soak::common_arguments(const std::string& role) {
    return {
        role, absl::StrCat("report=", pipe_.writing_end()),
        absl::StrCat("seed=", seed_ * 1'000 + static_cast<std::uint64_t>(++processes_started_))};
}

void protocol_soak::start_engine(engine_place& place, const std::string& id) {
    place.id = id;
    std::vector<std::string> arguments = common_arguments("engine");
    arguments.insert(arguments.end(),
                     {"id=" + id, "listen=" + place.listen.str(),
                      absl::StrCat("streams=", place.streams ? 1 : 0),
                      absl::StrCat("slots=", engine_slots), "queue=2",
                      absl::StrCat("connections=", random_.below(4) == 0 ? 8 : 60),
                      absl::StrCat("idle_ms=", random_.below(3) == 0 ? 250 : 1'500),
                      absl::StrCat("drops=", random_.below(4) == 0 ? 0 : 1),
                      absl::StrCat("own_copies=", own_copies_ ? 1 : 0),
                      absl::StrCat("copies=", 20 * random_.below(4)),
                      absl::StrCat("refusals=", 3 * random_.below(4)),
                      absl::StrCat("faults=", 20 * random_.below(3))});
    place.process = std::make_unique<child_process>("soak-standin", arguments,
                                                    (folder_ / "standins.err").string());
    if (place.process->listening().empty()) {
        throw std::runtime_error("no engine at " + place.listen.str());
    }
}

void protocol_soak::put_row(const engine_place& place, const std::string& state) {
    store_.put("servers", place.id,
               json{{"service", place.streams ? "model" : "plain"},
                    {"address", place.listed.str()},
                    {"zone", absl::StrCat("z", place.zone)},
                    {"version", "v1"},
                    {"slots", engine_slots},
                    {"state", state},
                    {"sequence", 1},
                    {"born", 1'796'000'000'000 + to_millis(time_.now() - began_).count()}}
                   .dump());
}

void protocol_soak::put_configuration() {
    config_version_ += 1 + random_.below(3);
    json all = json::array();
    for (const std::string& name : routes()) {
        all.push_back(route_of(name, random_));
    }
    const json tenant{
        {"name", "c"}, {"apiKeys", {"key"}}, {"unit", "token_count"}, {"plainTokens", 10}};
    const json small{{"name", "small"},   {"apiKeys", {"small-key"}}, {"unit", "token_count"},
                     {"plainTokens", 10}, {"ratePerS", 200},          {"burst", 300}};
    store_.put("op", "config",
               json{{"version", config_version_},
                    {"limits",
                     {{"maxHeaderBytes", 16'384},
                      {"maxBodyBytes", 8'000'000},
                      {"headerTimeoutMs", 2'000},
                      {"idleTimeoutMs", 1'500}}},
                    {"routes", all},
                    {"services",
                     {{{"name", "plain"}, {"healthPath", "/healthz"}},
                      {{"name", "model"},
                       {"engine", {{"slots", engine_slots}, {"kvCacheTokens", 100'000}}}}}},
                    {"tenants", {tenant, small}}}
                   .dump());
}

void protocol_soak::start_proxies() {
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i]->listed != engines_[i]->listen) {
            paths.push_back(engines_[i]->listed.str() + "/" + engines_[i]->listen.str());
        }
    }
    std::vector<std::string> node_paths;
    for (int i = 0; i < shape_.nodes; ++i) {
        const endpoint proxy{process_address(first_node_proxy + i), server_port};
        node_paths.push_back(proxy.str() + "/" + nodes_[i]->process->caller_endpoint().str());
    }
    for (const auto& some : {paths, node_paths}) {
        std::vector<std::string> arguments = common_arguments("proxy");
        arguments.push_back("paths=" + absl::StrJoin(some, ","));
        proxies_.push_back(std::make_unique<child_process>("soak-standin", arguments,
                                                           (folder_ / "standins.err").string()));
    }
}

void protocol_soak::start_callers() {
    for (int i = 0; i < caller_processes; ++i) {
        std::vector<std::string> addresses;
        addresses.reserve(nodes_.size());
        for (int node = 0; node < shape_.nodes; ++node) {
            addresses.push_back(
                i == 0 ? endpoint{process_address(first_node_proxy + node), server_port}.str()
                       : nodes_[node]->process->caller_endpoint().str());
        }
        std::vector<std::string> arguments = common_arguments("caller");
        arguments.insert(arguments.end(), {absl::StrCat("name=c", i), "connections=12",
                                           "nodes=" + absl::StrJoin(addresses, ","),
                                           "routes=" + absl::StrJoin(routes(), ",")});
        callers_.push_back(std::make_unique<child_process>("soak-standin", arguments,
                                                           (folder_ / "standins.err").string()));
    }
}

void protocol_soak::read_reports() {
    std::ofstream report(folder_ / "report.txt", std::ios::app);
    for (const std::string& line : pipe_.read()) {
        const millis now = to_millis(time_.now() - began_);
        checker_.take(line, now);
        report << now.count() << " " << line << "\n";
    }
}

void protocol_soak::check_nodes() {
    for (const auto& place : nodes_) {
        if (place->is_stopping && place->process->take_exit_code()) {
            place->is_stopping = false;
            after(random_delay(300), [one = place.get()] {
                one->process->start();
                one->is_disturbed = false;
            });
        }
    }
}

void protocol_soak::run(micros duration) {
    run_for(loop_, millis{1'500}); // The nodes read the tables.
    began_ = time_.now();
    start_callers();
    const auto reading = loop_.every(millis{3}, millis{0}, [this] { read_reports(); });
    const auto checking = loop_.every(millis{10}, millis{10}, [this] { check_nodes(); });
    {
        const auto disturbing = loop_.every(millis{120}, millis{500}, [this] { disturb(); });
        run_for(loop_, duration);
    }
    for (const auto& caller : callers_) {
        caller->signal(SIGUSR1);
    }
    run_for(loop_, end_time);
    read_reports();
}

void protocol_soak::disturb() {
    if (random_.below(60) == 0) {
        disturb_store();
    } else if (random_.below(6) == 0) {
        disturb_link(*nodes_[random_.below(linked_nodes)]);
    } else if (random_.below(4) == 0) {
        disturb_node(*nodes_[random_.below(nodes_.size())]);
    } else if (random_.below(12) == 0) {
        ++disturbances_["configuration"];
        put_configuration();
    } else {
        const auto plain = static_cast<std::size_t>(shape_.plain_servers);
        const std::size_t below = random_.below(2) == 0 ? plain : engines_.size();
        disturb_engine(*engines_[engines_.size() - 1 - random_.below(below)]);
    }
}

void protocol_soak::disturb_store() {
    ++disturbances_["store down"];
    store_.set_failure(absl::UnavailableError("down"));
    after(random_delay(2'500), [this] { store_.set_failure(absl::OkStatus()); });
}

void protocol_soak::disturb_link(node_place& place) {
    if (!place.link || std::exchange(place.is_link_lost, true)) {
        return;
    }
    ++disturbances_["lost link"];
    place.link->signal(random_.below(2) == 0 ? SIGUSR1 : SIGHUP);
    after(millis(1'000) + random_delay(3'000), [&place] {
        place.link->signal(SIGUSR2);
        place.is_link_lost = false;
    });
}

void protocol_soak::disturb_engine(engine_place& place) {
    const std::uint64_t choice = random_.below(10);
    if (std::exchange(place.is_disturbed, true)) {
        return;
    }
    if (choice < 5) {
        replace_engine(place);
    } else if (choice < 6) {
        restart_engine(place);
    } else if (choice < 8) {
        let_engine_leave(place);
    } else {
        ++disturbances_["suspended engine"];
        place.process->signal(SIGSTOP);
        after(random_delay(1'500), [&place] {
            place.process->signal(SIGCONT);
            place.is_disturbed = false;
        });
    }
}

void protocol_soak::replace_engine(engine_place& place) {
    ++disturbances_["replaced engine"];
    const std::string old_id = place.id;
    place.process.reset();
    if (random_.below(8) == 0) {
        place.streams = !place.streams;
    }
    after(random_delay(200), [this, &place] {
        start_engine(place, next_engine_id());
        put_row(place, "ready");
    });
    after(millis(300) + random_delay(2'500), [this, &place, old_id] {
        store_.remove("servers", old_id);
        place.is_disturbed = false;
    });
}

void protocol_soak::restart_engine(engine_place& place) {
    ++disturbances_["restarted engine"];
    place.process.reset();
    after(random_delay(300), [this, &place] {
        start_engine(place, place.id);
        put_row(place, "ready");
        place.is_disturbed = false;
    });
}

void protocol_soak::let_engine_leave(engine_place& place) {
    ++disturbances_["left engine"];
    put_row(place, "draining");
    const millis leaving = millis(500) + random_delay(1'000);
    after(leaving, [this, &place] { store_.remove("servers", place.id); });
    after(leaving + random_delay(500), [this, &place] {
        place.process.reset();
        start_engine(place, next_engine_id());
        put_row(place, "ready");
        place.is_disturbed = false;
    });
}

void protocol_soak::disturb_node(node_place& place) {
    const std::uint64_t choice = random_.below(6);
    if (std::exchange(place.is_disturbed, true)) {
        return;
    }
    if (choice < 3) {
        ++disturbances_["suspended node"];
        place.process->signal(SIGSTOP);
        after(millis(50) + random_delay(2'000), [&place] {
            place.process->signal(SIGCONT);
            place.is_disturbed = false;
        });
        return;
    }
    ++disturbances_[choice == 3 ? "killed node" : "stopped node"];
    place.process->signal(choice == 3 ? SIGKILL : SIGTERM);
    place.is_stopping = true;
}

std::string protocol_soak::log_lines_of(const std::string& attempt) const {
    std::string found;
    for (const auto& file : std::filesystem::directory_iterator(folder_)) {
        std::ifstream log(file.path());
        for (std::string line; file.path().extension() == ".log" && std::getline(log, line);) {
            if (line.find("\"" + attempt + "\"") != std::string::npos) {
                absl::StrAppend(&found, "    ", line, "\n");
            }
        }
    }
    return found;
}

std::string protocol_soak::findings() const {
    std::string text;
    std::size_t shown = 0;
    for (const auto& [id, rule] : checker_.broken()) {
        if (++shown <= max_findings) {
            absl::StrAppend(&text, rule, " ", id, "\n", checker_.history_of(id), log_lines_of(id));
        }
    }
    return text;
}

std::string protocol_soak::summary() const {
    std::map<std::string, int> broken;
    for (const auto& [id, rule] : checker_.broken()) {
        ++broken[rule];
    }
    const auto pairs = [](const auto& counts) {
        return absl::StrJoin(counts, ", ", absl::PairFormatter(": "));
    };
    return absl::StrCat(shape_.name, " soak: seed ", seed_, "; ", pairs(disturbances_),
                        "; answers ", pairs(checker_.answers()), "; lines ",
                        pairs(checker_.lines()), "; mixed: ", checker_.mixed().size(), "; broken ",
                        pairs(broken));
}

} // namespace jujubetide
