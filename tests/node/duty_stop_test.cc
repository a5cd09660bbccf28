// The node program that holds the duties, stopped while the store still answers its renewal.
#include "node/duty_lease.h"
#include "node_fixture.h"
#include "node_process.h"
#include "support/row_store_server.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <unistd.h>

using namespace jujubetide;

namespace {

constexpr int node_count = 3;
/// `leaseMs` of the settings of `node_process`.
constexpr millis lease_duration{3'000};
constexpr millis start_limit{20'000};
/// How long the store takes to answer once it has carried a call out.
constexpr millis answer_delay{100};

class duty_run {
public:
    duty_run()
        : folder_(std::filesystem::temp_directory_path() /
                  ("jujubetide-duties-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(folder_);
        store_.put("op", "config", config_of_test(1, nlohmann::json::object()));
        for (int i = 1; i <= node_count; ++i) {
            nodes_.push_back(std::make_unique<node_process>(folder_, i, store_server_.address(),
                                                            cloud_.address()));
            nodes_.back()->start();
        }
    }
    ~duty_run() {
        nodes_.clear();
        std::error_code ignored; // A log that cannot be removed harms no later run.
        std::filesystem::remove_all(folder_, ignored);
    }
    duty_run(const duty_run&) = delete;
    duty_run& operator=(const duty_run&) = delete;

    [[nodiscard]] bool wait_for_holder() {
        return run_until(
            loop_, [this] { return holder() > 0; }, start_limit);
    }
    /// Stops the holder as the store has carried out its next renewal, `after` that. Returns
    /// whether another node takes the duties well before the lease would have expired.
    [[nodiscard]] bool is_taken_over_early(micros after) {
        const int first = holder();
        run_for(loop_, lease_duration / 2);
        store_.set_answer_delay(answer_delay);
        const row_version before = lease_row().version;
        REQUIRE(run_until(loop_, [&] { return lease_row().version != before; }));
        run_for(loop_, after);
        nodes_[static_cast<std::size_t>(first) - 1]->signal(SIGTERM);
        run_for(loop_, answer_delay);
        store_.set_answer_delay(millis{1});
        return run_until(
            loop_, [&] { return holder() > 0 && holder() != first; }, lease_duration / 2);
    }

private:
    [[nodiscard]] stored_row lease_row() const {
        const auto rows = store_.rows(duty_lease::table);
        const auto found = rows.find(duty_lease::key);
        return found == rows.end() ? stored_row() : found->second;
    }
    /// The number of the node that holds the duties; 0 while none does.
    [[nodiscard]] int holder() const {
        const auto record = parse_lease_record(lease_row().value);
        return !record.ok() || record->holder.empty() ? 0 : record->holder[1] - '0';
    }

    event_loop loop_;
    boot_clock time_;
    std::filesystem::path folder_;
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    scripted_server cloud_{loop_, time_, [](scripted_call& call) { answer(call, 200, "{}"); }};
    std::vector<std::unique_ptr<node_process>> nodes_;
};

} // namespace

TEST_CASE("the duties do not rest when the node program that holds them stops while it renews") {
    for (const millis after : {millis{1}, millis{50}}) {
        duty_run run;
        REQUIRE(run.wait_for_holder());
        CHECK(run.is_taken_over_early(after));
    }
}
