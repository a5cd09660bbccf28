// Node programs whose store comes back from older copies, at random moments.
// JUJUBETIDE_SOAK_SEED, JUJUBETIDE_SOAK_SECONDS and JUJUBETIDE_SOAK_KILLS choose another run.
#include "node_fixture.h"
#include "node_process.h"
#include "support/environment.h"
#include "support/row_store_server.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <set>
#include <unistd.h>

using namespace jujubetide;

namespace {

using json = nlohmann::json;

constexpr int node_count = 4;
/// The users' bounds: a configuration applies to what is sent later than this after the store has
/// confirmed it, with the stretch for a store that was not stable.
constexpr millis config_apply_time{7'000};

/// The platform's calls that one node makes for all, and what the users' rules say about them.
class duty_cloud final : public http1_handler {
public:
    duty_cloud(event_loop& loop, const jujubetide::clock& time)
        : server_(*http1_server::make(loop, time, {"127.0.0.1", 0}, *this)) {}
    [[nodiscard]] const endpoint& address() const { return server_->address(); }

    /// The number of windows that were reported.
    [[nodiscard]] std::size_t windows() const { return counts_.size(); }

    std::vector<std::string> breaches;
    std::size_t calls = 0;

protected:
    std::shared_ptr<exchange_events> do_request(request_head head, std::string body, time_point,
                                                std::shared_ptr<http1_exchange> exchange) override {
        ++calls;
        const std::string holder(head.headers.find("X-Duty-Holder").value_or(""));
        const std::uint64_t number =
            std::stoull(std::string(head.headers.find("X-Fencing-Token").value_or("0")));
        const json document = json::parse(body);
        const std::string subject =
            head.target == "/usage" ? head.target
                                    : document.value("service", "") + document.value("zone", "");
        auto& numbers = holders_[subject];
        if (!numbers.empty() && number < numbers.rbegin()->first) {
            breaches.push_back(absl::StrCat("number ", number, " of ", holder, " is lower"));
        }
        if (!numbers[number].empty() && numbers[number] != holder) {
            breaches.push_back(
                absl::StrCat("number ", number, " of ", numbers[number], " and ", holder));
        }
        numbers[number] = holder;
        if (head.target == "/usage") {
            const auto [known, is_new] =
                counts_.try_emplace(document.at("windowId"), document.at("counts"));
            if (!is_new && known->second != document.at("counts")) {
                breaches.push_back(absl::StrCat("window ", known->first, " twice"));
            }
        }
        exchange->respond(200, {}, "{}");
        return nullptr;
    }
    [[nodiscard]] std::string do_error_body(int) const override { return "{}"; }

private:
    std::map<std::string, std::map<std::uint64_t, std::string>> holders_;
    std::map<std::int64_t, json> counts_;
    std::unique_ptr<http1_server> server_;
};

/// A node program that is stopped and started again.
struct running_node {
    running_node(const std::filesystem::path& folder, int index, const endpoint& store,
                 const endpoint& cloud)
        : process(folder, index, store, cloud) {
        process.start();
    }
    node_process process;
    /// It has served a call since its start and was not told to stop.
    bool is_serving = false;
    bool is_stopping = false;
    int starts = 1;
};

struct caller {
    running_node* node = nullptr;
    int start = 0;
    bool was_serving = false;
    recorded_call events;
    std::unique_ptr<http1_call> call;
};

class restore_run {
public:
    explicit restore_run(std::uint64_t seed)
        : random_(seed), folder_(std::filesystem::temp_directory_path() /
                                 ("jujubetide-restore-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(folder_);
        write_config();
        write_registrations();
        for (int i = 1; i <= node_count; ++i) {
            nodes_.push_back(std::make_unique<running_node>(folder_, i, store_server_.address(),
                                                            cloud_.address()));
        }
        every(millis{1'200}, [this] { write_registrations(); });
        every(millis{25}, [this] {
            if (has_callers_) {
                send(*nodes_[random_.below(node_count)], current_key());
            }
        });
        every(millis{50}, [this] {
            look_at_calls();
            look_at_nodes();
        });
    }
    ~restore_run() {
        nodes_.clear();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    restore_run(const restore_run&) = delete;
    restore_run& operator=(const restore_run&) = delete;

    void run(micros duration) {
        run_for(loop_, millis{3'000});
        const time_point end = time_.now() + duration;
        while (time_.now() < end) {
            disturb();
            run_for(loop_, millis(200 + random_.below(2'500)));
        }
    }
    /// Kills all nodes at once, each time as the store goes away to come back from a copy that
    /// lacks the last reported window.
    void run_with_kills(int kills) {
        wait_for_reports(2);
        for (int i = 0; i < kills; ++i) {
            store_.take_copy();
            wait_for_reports(1);
            run_for(loop_, millis(random_.below(600)));
            for (const auto& node : nodes_) {
                node->is_stopping = true;
                node->process.signal(SIGKILL);
            }
            stops += node_count;
            restore();
            wait_for_reports(2);
        }
    }
    /// What nodes still do under an older configuration once the last one must apply.
    std::vector<std::string> nodes_with_older_config() {
        run_for(loop_, config_apply_time);
        has_callers_ = false;
        calls_.clear();
        for (const auto& node : nodes_) {
            send(*node, current_key());
            send(*node, absl::StrCat("key-", version_ - 1));
        }
        REQUIRE(run_until(loop_, [this] {
            return std::all_of(calls_.begin(), calls_.end(),
                               [](const auto& one) { return one->events.over(); });
        }));
        std::vector<std::string> older;
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            const int status = calls_[i]->events.head.status;
            if (status != (i % 2 == 0 ? 200 : 401)) {
                older.push_back(absl::StrCat("node ", i / 2 + 1, ": ", status));
            }
        }
        return older;
    }

    duty_cloud& duties() { return cloud_; }
    std::vector<std::string> failed_calls;
    int restores = 0;
    int stops = 0;
    std::size_t served = 0;

private:
    void every(micros period, std::function<void()> action) {
        timers_.push_back(loop_.every(period, period, std::move(action)));
    }
    void after(micros delay, std::function<void()> action) {
        timers_.push_back(loop_.once(delay, std::move(action)));
    }
    /// Each version has a key of its own besides the one that all have.
    [[nodiscard]] static std::string current_key() { return "key"; }

    void write_config() {
        json config = json::parse(config_of_test(version_, json::object()));
        config["tenants"][0]["apiKeys"] = {current_key(), absl::StrCat("key-", version_)};
        config["services"][0]["scaling"] = {{"minReplicas", 1},
                                            {"maxReplicas", 2},
                                            {"bootTimeS", 1.0},
                                            {"zonePrices", {{"z1", 1.0}}}};
        store_.put("op", "config", config.dump());
    }
    void write_registrations() {
        if (!is_away_) {
            store_.put("servers", "i-1", registration_of_test("plain", servers_[0]->address()));
            store_.put("servers", "i-2", registration_of_test("plain", servers_[1]->address()));
        }
    }
    void send(running_node& node, const std::string& key) {
        auto made = std::make_unique<caller>();
        made->node = &node;
        made->start = node.starts;
        made->was_serving = node.is_serving && !node.is_stopping;
        header_list headers;
        headers.add("Host", "h.example");
        headers.add("X-Attempt-Id", absl::StrCat("id-", ++next_id_));
        headers.add("Authorization", "Token " + key);
        call_options options;
        options.max_idle = micros{0};
        made->call = client_.call(node.process.caller_endpoint(),
                                  serialize_request("POST", "/once/", headers, "body"), options,
                                  made->events);
        calls_.push_back(std::move(made));
    }
    void wait_for_reports(std::size_t count) {
        const std::size_t windows = cloud_.windows() + count;
        REQUIRE(run_until(
            loop_, [this, windows] { return cloud_.windows() >= windows; }, millis{60'000}));
    }
    /// Takes in the calls that are over.
    void look_at_calls() {
        if (!has_callers_) {
            return;
        }
        for (const auto& one : calls_) {
            if (!one->events.over()) {
                continue;
            }
            const bool is_served = one->events.whole && one->events.head.status == 200;
            served += is_served ? 1 : 0;
            if (one->start != one->node->starts || one->node->is_stopping) {
                continue;
            }
            if (!is_served && one->was_serving) {
                failed_calls.push_back(absl::StrCat("status ", one->events.head.status));
            }
            one->node->is_serving = one->node->is_serving || is_served;
        }
        std::erase_if(calls_, [](const auto& one) { return one->events.over(); });
    }
    /// Starts processes again that have ended.
    void look_at_nodes() {
        for (const auto& node : nodes_) {
            if (const auto code = node->process.take_exit_code()) {
                CHECK((*code == 0 || *code == -SIGKILL));
                node->is_serving = node->is_stopping = false;
                ++node->starts;
                node->process.start();
            }
        }
    }
    void disturb() {
        switch (random_.below(5)) {
        case 0:
            store_.take_copy();
            break;
        case 1:
        case 2:
            restore();
            break;
        case 3:
            ++version_;
            if (!is_away_) {
                write_config();
            }
            break;
        default:
            stop_one();
        }
    }
    void restore() {
        if (is_away_) {
            return;
        }
        is_away_ = true;
        store_.set_failure(absl::UnavailableError("away"));
        after(millis(random_.below(1'500)), [this] {
            ++restores;
            store_.restore();
            store_.set_failure(absl::OkStatus());
            is_away_ = false;
            // The operators and the backend servers write again, a little later.
            after(millis(random_.below(300)), [this] { write_config(); });
            after(millis(random_.below(1'000)), [this] { write_registrations(); });
        });
    }
    void stop_one() {
        running_node& node = *nodes_[random_.below(node_count)];
        const bool others_serve = std::all_of(nodes_.begin(), nodes_.end(), [](const auto& one) {
            return one->is_serving && !one->is_stopping;
        });
        if (others_serve) {
            ++stops;
            node.is_stopping = true;
            node.process.signal(random_.below(3) == 0 ? SIGKILL : SIGTERM);
        }
    }

    event_loop loop_;
    boot_clock time_;
    seeded_random random_;
    std::filesystem::path folder_;
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    duty_cloud cloud_{loop_, time_};
    http1_client client_{loop_, time_};
    std::vector<std::unique_ptr<scripted_server>> servers_ = make_servers();
    std::vector<std::unique_ptr<running_node>> nodes_;
    std::vector<std::unique_ptr<caller>> calls_;
    std::vector<std::unique_ptr<timer_subscription>> timers_;
    std::uint64_t version_ = 1;
    std::uint64_t next_id_ = 0;
    bool is_away_ = false;
    bool has_callers_ = true;

    std::vector<std::unique_ptr<scripted_server>> make_servers() {
        std::vector<std::unique_ptr<scripted_server>> made;
        made.reserve(2);
        for (int i = 0; i < 2; ++i) {
            made.push_back(std::make_unique<scripted_server>(
                loop_, time_, [](scripted_call& call) { answer(call, 200, "ok"); }));
        }
        return made;
    }
};

std::string joined(const std::vector<std::string>& parts) {
    std::string text;
    for (const std::string& part : parts) {
        text += part + "; ";
    }
    return text;
}

} // namespace

TEST_CASE("node programs keep their promises while their store comes back from older copies") {
    const std::uint64_t seed = number_from_environment("JUJUBETIDE_SOAK_SEED", 2);
    const std::uint64_t seconds = number_from_environment("JUJUBETIDE_SOAK_SECONDS", 25);
    restore_run run(seed);
    run.run(std::chrono::seconds(seconds));
    const std::vector<std::string> older = run.nodes_with_older_config();
    std::cout << "restore soak: seed " << seed << ", " << run.restores << " restores, " << run.stops
              << " stops, " << run.served << " calls served, " << run.duties().calls
              << " calls to the cloud\n";
    INFO("older configurations: " << joined(older));
    CHECK(older.empty());
    INFO("duties: " << joined(run.duties().breaches));
    CHECK(run.duties().breaches.empty());
    INFO("failed calls: " << joined(run.failed_calls));
    CHECK(run.failed_calls.empty());
    CHECK(run.restores > 0);
    CHECK(run.duties().calls > 0);
}

// The copy has no row of the last reported window, and no node is left that remembers it.
TEST_CASE("node programs that are all killed in a restore report no window with other counts") {
    restore_run run(number_from_environment("JUJUBETIDE_SOAK_SEED", 2));
    run.run_with_kills(static_cast<int>(number_from_environment("JUJUBETIDE_SOAK_KILLS", 1)));
    INFO("duties: " << joined(run.duties().breaches));
    CHECK(run.duties().breaches.empty());
    INFO("failed calls: " << joined(run.failed_calls));
    CHECK(run.failed_calls.empty());
    CHECK(run.restores > 0);
}
