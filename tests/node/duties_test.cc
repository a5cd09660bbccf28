#include "node/duty_lease.h"
#include "node/usage_reporter.h"
#include "node_fixture.h"
#include "support/manual_clock.h"
#include "support/manual_timer_service.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

/// One node's way to the common store, which can be cut.
class store_link final : public row_store {
public:
    store_link(fake_row_store& store, timer_service& timers) : store_(store), timers_(timers) {}
    void cut() { is_cut_ = true; }

protected:
    [[nodiscard]] std::optional<store_era> do_era() const override { return era_; }
    void do_read(const std::string& table, const std::string& from,
                 batch_handler handler) override {
        if (!fails(handler)) {
            store_.read(table, from, with_era(std::move(handler)));
        }
    }
    void do_changes(const std::string& table, row_version after, millis wait,
                    batch_handler handler) override {
        if (!fails(handler)) {
            store_.changes(table, after, wait, with_era(std::move(handler)));
        }
    }
    void do_commit(const row_transaction& transaction, commit_handler handler) override {
        if (!fails(handler)) {
            store_.commit(transaction, with_era(std::move(handler)));
        }
    }

private:
    template <class Handler>
    bool fails(const Handler& handler) {
        if (is_cut_) {
            answers_.push_back(timers_.once(
                millis{1}, [handler] { handler(absl::DeadlineExceededError("link is cut")); }));
        }
        return is_cut_;
    }
    /// The handler, for as long as the node lives.
    template <class Result>
    std::function<void(Result)> with_era(std::function<void(Result)> handler) {
        return [this, handler = std::move(handler), alive = std::weak_ptr(alive_)](Result result) {
            if (!alive.expired()) {
                era_ = store_.era();
                handler(std::move(result));
            }
        };
    }

    fake_row_store& store_;
    timer_service& timers_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool is_cut_ = false;
    std::optional<store_era> era_;
    std::vector<std::unique_ptr<timer_subscription>> answers_;
};

/// The parts of one node that carry out duties, driven by a manual clock.
struct duty_node {
    duty_node(event_loop& loop, manual_timer_service& timers, manual_clock& time,
              fake_row_store& common, const std::string& name, std::uint64_t start)
        : store(common, timers),
          state(make_settings(name), loop, timers, time, log, random, headers),
          peers(*peer_exchange::make(state, store, incarnation(start))),
          lease(state, store, *peers), reporter(state, store, *peers, lease, calls) {
        serving_config::parts parts;
        serving_customer customer;
        customer.id = customer_id("c");
        parts.customers = {customer};
        state.config = serving_config::make(parts);
        peers->set_has_usage_history(true);
        lease.start();
        reporter.start();
    }
    static node_settings make_settings(const std::string& name) {
        node_settings settings;
        settings.node = node_id(name);
        settings.peer_endpoint = {"127.0.0.1", 0};
        return settings;
    }

    store_link store;
    recorded_log log;
    seeded_random random{1};
    platform::call_headers headers;
    recorded_platform_api calls;
    serving_state state;
    std::unique_ptr<peer_exchange> peers;
    duty_lease lease;
    usage_reporter reporter;
};

struct duty_fixture {
    void advance(millis step) {
        for (millis done{0}; done < step; done += millis{5}) {
            time.advance(millis{5});
            timers.advance(millis{5});
        }
    }
    std::unique_ptr<duty_node> make(const std::string& name, std::uint64_t start) {
        return std::make_unique<duty_node>(loop, timers, time, store, name, start);
    }

    event_loop loop;
    manual_clock time;
    manual_timer_service timers;
    fake_row_store store{timers};
};

const customer_id customer("c");

/// Restores the store at several moments before and after renewals of the lease.
void check_holder_keeps_duties(store_era first_era) {
    for (const int renewals : {0, 1, 5}) {
        duty_fixture fixture;
        fixture.store.set_first_era(first_era);
        const auto holder = fixture.make("n1", 1);
        fixture.advance(millis{3'000});
        fixture.store.take_copy();
        fixture.advance(millis{1'200} * renewals);
        const fencing_number before = *holder->lease.permit();
        fixture.store.restore();
        const auto other = fixture.make("n2", 2);
        for (int i = 0; i < 200; ++i) {
            fixture.advance(millis{50});
            CHECK(holder->lease.is_held());
            CHECK_FALSE(other->lease.is_held());
        }
        CHECK(*holder->lease.permit() > before);
    }
}

row_version lease_version(duty_fixture& fixture) {
    const auto rows = fixture.store.rows(duty_lease::table);
    const auto found = rows.find(duty_lease::key);
    return found == rows.end() ? row_version() : found->second.version;
}

/// Advances until the store has written the lease's row; the answer is still to come.
void advance_to_lease_write(duty_fixture& fixture) {
    const row_version before = lease_version(fixture);
    for (int i = 0; i < 400 && lease_version(fixture) == before; ++i) {
        fixture.advance(millis{5});
    }
    REQUIRE(lease_version(fixture) > before);
}

/// Whether a second node takes the duties over well before the lease would have expired.
bool is_taken_over_early(duty_fixture& fixture, duty_node& first, duty_node& second) {
    const millis early = first.state.settings.lease_duration / 2;
    for (millis waited{0}; waited < early && !second.lease.is_held(); waited += millis{5}) {
        fixture.advance(millis{5});
        CHECK_FALSE(first.lease.is_held());
    }
    return second.lease.is_held();
}

bool is_reported(const duty_node& node, usage_window window) {
    return std::any_of(node.calls.reports.begin(), node.calls.reports.end(),
                       [window](const auto& report) { return report.window == window; });
}

usage_window current_window(const duty_node& node, const duty_fixture& fixture) {
    return node.state.usage.window_at(fixture.time.wall_now());
}

/// The time until the window that is running ends.
millis window_rest(const duty_node& node, const duty_fixture& fixture) {
    return std::chrono::duration_cast<millis>(
        node.state.usage.end_of(current_window(node, fixture)) - fixture.time.wall_now());
}

} // namespace

TEST_CASE("one of two nodes holds the duties, and the other takes over after it ends") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{2'000});
    CHECK(first->lease.is_held());
    auto second = fixture.make("n2", 2);
    for (int i = 0; i < 20; ++i) {
        fixture.advance(millis{500});
        CHECK(first->lease.is_held());
        CHECK_FALSE(second->lease.is_held());
    }
    first.reset();
    fixture.advance(millis{10'000});
    CHECK(second->lease.is_held());
}

TEST_CASE("a lease whose renewals fail expires before another node can acquire it") {
    duty_fixture fixture;
    const auto first = fixture.make("n1", 1);
    fixture.advance(millis{2'000});
    REQUIRE(first->lease.is_held());
    fixture.store.set_failure(absl::UnavailableError("down"));
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{6'000});
    CHECK_FALSE(first->lease.is_held());
    CHECK_FALSE(first->lease.permit().ok());
    fixture.store.set_failure(absl::OkStatus());
    for (int i = 0; i < 200; ++i) {
        fixture.advance(millis{50});
        CHECK_FALSE((first->lease.is_held() && second->lease.is_held()));
    }
    CHECK((first->lease.is_held() || second->lease.is_held()));
}

TEST_CASE("each usage window is reported once, with its count") {
    duty_fixture fixture;
    const auto node = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    const usage_window window = node->state.usage.window_at(fixture.time.wall_now());
    for (int i = 0; i < 7; ++i) {
        node->state.usage.count(customer, fixture.time.wall_now());
    }
    fixture.advance(millis{20'000});
    int reports = 0;
    for (const auto& report : node->calls.reports) {
        if (report.window == window) {
            ++reports;
            CHECK(report.counts.at(customer) == 7);
        }
    }
    CHECK(reports == 1);
}

TEST_CASE("a successor reports the counts that its predecessor stored, not its own") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    const usage_window window = first->state.usage.window_at(fixture.time.wall_now());
    first->state.usage.count(customer, fixture.time.wall_now());
    // The report is stored, but the call that sends it fails for as long as the holder runs.
    first->calls.answer = absl::UnavailableError("down");
    fixture.advance(millis{7'000});
    REQUIRE_FALSE(fixture.store.rows(usage_reporter::table).empty());
    first.reset();
    const auto second = fixture.make("n2", 2);
    second->state.usage.count(customer, fixture.time.wall_now() - millis{7'000});
    second->state.usage.count(customer, fixture.time.wall_now() - millis{7'000});
    fixture.advance(millis{9'000});
    bool is_reported = false;
    for (const auto& report : second->calls.reports) {
        if (report.window == window) {
            is_reported = true;
            CHECK(report.counts.at(customer) == 1);
            CHECK(report.by.fencing > fencing_number(1));
        }
    }
    CHECK(is_reported);
}

TEST_CASE("a report whose write got no answer is not sent with different counts") {
    duty_fixture fixture;
    const auto node = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    const usage_window window = node->state.usage.window_at(fixture.time.wall_now());
    node->state.usage.count(customer, fixture.time.wall_now());
    fixture.advance(millis{3'000});
    fixture.store.set_lose_answers(true);
    fixture.advance(millis{3'000});
    // A late heartbeat would change the sum, but the stored row is authoritative.
    node->state.usage.on_peer_counts(node_id("late"), incarnation(1), window, {{customer, 5}});
    fixture.store.set_lose_answers(false);
    fixture.advance(millis{9'000});
    std::set<std::uint64_t> counts;
    for (const auto& report : node->calls.reports) {
        if (report.window == window) {
            counts.insert(report.counts.at(customer));
        }
    }
    CHECK(counts.size() == 1);
}

TEST_CASE("a generation number from before a restore is not given out to another holder") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'100}); // No renewal is under way.
    REQUIRE(first->lease.is_held());
    fixture.store.take_copy();
    first->lease.release();
    auto second = fixture.make("n2", 2);
    fixture.advance(millis{8'000});
    REQUIRE(second->lease.is_held());
    const fencing_number before = *second->lease.permit();
    fixture.store.restore();
    second.reset(); // Ends before it has noticed the restore.
    const auto third = fixture.make("n3", 3);
    fixture.advance(millis{15'000});
    REQUIRE(third->lease.is_held());
    CHECK(*third->lease.permit() > before);
}

TEST_CASE("the holder keeps the duties through a restore, with a higher generation number") {
    check_holder_keeps_duties(store_era(1));
}

TEST_CASE("the first restore of a store that named no era before is noticed") {
    check_holder_keeps_duties(store_era(0));
}

TEST_CASE("a node that starts after a restore does not take duties that are held") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'100}); // No renewal is under way.
    first->lease.release();
    fixture.advance(millis{100});
    fixture.store.take_copy(); // The lease is released in the copy.
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{3'000});
    REQUIRE(second->lease.is_held());
    fixture.store.restore();
    const auto third = fixture.make("n3", 3);
    // The second node does not reach the restored store.
    second->store.cut();
    for (int i = 0; i < 300; ++i) {
        fixture.advance(millis{50});
        CHECK_FALSE((second->lease.is_held() && third->lease.is_held()));
    }
    CHECK(third->lease.is_held());
}

TEST_CASE("a second restore amid the first does not set the generation number back") {
    duty_fixture fixture;
    const auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    fixture.store.take_copy();
    std::set<fencing_number> numbers{*first->lease.permit()};
    for (int i = 0; i < 4; ++i) {
        fixture.store.restore();
        fixture.advance(millis{700} * i);
        fixture.store.restore();
        fixture.advance(millis{4'000});
        REQUIRE(first->lease.permit().ok());
        CHECK(*first->lease.permit() > *numbers.rbegin());
        numbers.insert(*first->lease.permit());
    }
}

TEST_CASE("usage counts that a restore removed are written again as they were reported") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'100});
    fixture.store.take_copy();
    const usage_window window = first->state.usage.window_at(fixture.time.wall_now());
    first->state.usage.count(customer, fixture.time.wall_now());
    fixture.advance(millis{8'000});
    const std::string key = std::to_string(window.value());
    REQUIRE(fixture.store.rows(usage_reporter::table).contains(key));
    const std::string stored = fixture.store.rows(usage_reporter::table).at(key).value;
    fixture.store.restore();
    REQUIRE_FALSE(fixture.store.rows(usage_reporter::table).contains(key));
    first->state.usage.on_peer_counts(node_id("late"), incarnation(1), window, {{customer, 5}});
    fixture.advance(millis{3'000});
    REQUIRE(fixture.store.rows(usage_reporter::table).contains(key));
    CHECK(fixture.store.rows(usage_reporter::table).at(key).value == stored);
}

TEST_CASE("a window that another node reported is not reported with other counts after a restore") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{3'100});
    REQUIRE(first->lease.is_held());
    fixture.store.take_copy();
    const usage_window window = first->state.usage.window_at(fixture.time.wall_now());
    first->state.usage.count(customer, fixture.time.wall_now());
    fixture.advance(millis{8'000});
    REQUIRE(std::any_of(first->calls.reports.begin(), first->calls.reports.end(),
                        [&](const auto& report) { return report.window == window; }));
    // The heartbeat with which the first node tells of it.
    for (const usage_window settled : first->state.usage.settled()) {
        second->state.usage.settle(settled);
    }
    fixture.store.restore();
    first.reset();
    second->state.usage.on_peer_counts(node_id("late"), incarnation(1), window, {{customer, 5}});
    fixture.advance(millis{9'000});
    REQUIRE(second->lease.is_held());
    CHECK(std::none_of(second->calls.reports.begin(), second->calls.reports.end(),
                       [&](const auto& report) { return report.window == window; }));
    CHECK_FALSE(second->calls.reports.empty());
}

TEST_CASE("duties do not rest until the lease expires when their holder stops while it renews") {
    for (const millis answer_delay : {millis{10}, millis{200}, millis{900}}) {
        duty_fixture fixture;
        const auto first = fixture.make("n1", 1);
        fixture.advance(millis{3'000});
        REQUIRE(first->lease.is_held());
        fixture.store.set_answer_delay(answer_delay);
        advance_to_lease_write(fixture);
        const auto second = fixture.make("n2", 2);
        first->lease.release();
        fixture.advance(answer_delay);
        fixture.store.set_answer_delay(millis{1});
        CHECK(is_taken_over_early(fixture, *first, *second));
    }
}

TEST_CASE("duties do not rest when a node stops while it takes their lease") {
    duty_fixture fixture;
    fixture.store.set_answer_delay(millis{100});
    const auto first = fixture.make("n1", 1);
    advance_to_lease_write(fixture);
    const auto second = fixture.make("n2", 2);
    first->lease.release();
    CHECK(is_taken_over_early(fixture, *first, *second));
}

TEST_CASE("duties do not rest when the answer to their holder's last renewal is lost") {
    duty_fixture fixture;
    const auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    fixture.store.set_lose_answers(true);
    fixture.store.set_answer_delay(millis{200});
    advance_to_lease_write(fixture);
    const auto second = fixture.make("n2", 2);
    first->lease.release();
    fixture.advance(millis{200});
    fixture.store.set_lose_answers(false);
    fixture.store.set_answer_delay(millis{1});
    CHECK(is_taken_over_early(fixture, *first, *second));
}

TEST_CASE("duties do not rest when the store is away as their holder stops") {
    duty_fixture fixture;
    const auto first = fixture.make("n1", 1);
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{3'000});
    REQUIRE(first->lease.is_held());
    fixture.store.set_failure(absl::UnavailableError("away"));
    first->lease.release();
    fixture.advance(millis{1'000});
    fixture.store.set_failure(absl::OkStatus());
    CHECK(is_taken_over_early(fixture, *first, *second));
}

TEST_CASE("a node that never held the duties does not call the store as it stops") {
    duty_fixture fixture;
    const auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    const auto second = fixture.make("n2", 2);
    second->lease.release();
    fixture.advance(millis{100});
    const int commits = fixture.store.commits;
    const int reads = fixture.store.reads;
    first->store.cut();
    fixture.advance(millis{1'000});
    CHECK(fixture.store.commits == commits);
    CHECK(fixture.store.reads == reads);
}

// Without the row and without a node that remembers it, the window counted as never reported.
TEST_CASE("a window reported before a restore in which all nodes end is not reported again") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    // The copy has an older window's row.
    fixture.advance(window_rest(*first, fixture) + millis{2'000});
    REQUIRE_FALSE(first->calls.reports.empty());
    fixture.store.take_copy();
    const usage_window window = current_window(*first, fixture);
    first->state.usage.count(customer, fixture.time.wall_now());
    fixture.advance(window_rest(*first, fixture) + millis{2'000});
    REQUIRE(is_reported(*first, window));
    first.reset();
    fixture.store.restore();
    const auto second = fixture.make("n2", 2);
    const usage_window later = current_window(*second, fixture);
    fixture.advance(millis{20'000});
    CHECK_FALSE(is_reported(*second, window));
    CHECK(is_reported(*second, later));
    CHECK(second->log.count("usage_history_started") == 1);
}

// A restore must not cost the reports of windows that end after it.
TEST_CASE("windows that no one reported are reported after all nodes ended") {
    const bool has_earlier_restore = GENERATE(false, true);
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    if (has_earlier_restore) {
        fixture.store.take_copy();
        fixture.store.restore();
        fixture.advance(millis{2'000});
    }
    const usage_window window = current_window(*first, fixture);
    fixture.advance(window_rest(*first, fixture));
    REQUIRE_FALSE(is_reported(*first, window));
    first.reset();
    fixture.advance(millis{2'000});
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{15'000});
    CHECK(is_reported(*second, window));
}

// The holder knows which windows it did not report; the row it writes says so to its successors.
TEST_CASE("windows before a restore that the holder outlived are still reported by later nodes") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    fixture.advance(millis{3'000});
    fixture.advance(window_rest(*first, fixture));
    fixture.store.take_copy();
    const usage_window window = current_window(*first, fixture);
    fixture.advance(millis{500});
    fixture.store.restore();
    fixture.advance(window_rest(*first, fixture));
    REQUIRE_FALSE(is_reported(*first, window));
    REQUIRE(first->log.count("usage_history_started") == 2);
    first.reset();
    fixture.advance(millis{2'000});
    const auto second = fixture.make("n2", 2);
    fixture.advance(millis{15'000});
    CHECK(is_reported(*second, window));
}

// Only a living node knew that the window was stored; the history of the new era begins after it.
TEST_CASE("a window whose counts are lost is not reported by nodes that start later") {
    duty_fixture fixture;
    auto first = fixture.make("n1", 1);
    auto second = fixture.make("n2", 2);
    fixture.advance(millis{3'100});
    REQUIRE(first->lease.is_held());
    fixture.store.take_copy();
    const usage_window window = current_window(*first, fixture);
    fixture.advance(window_rest(*first, fixture) + millis{1'500});
    REQUIRE(is_reported(*first, window));
    for (const usage_window settled : first->state.usage.settled()) {
        second->state.usage.settle(settled);
    }
    fixture.store.restore();
    first.reset();
    for (int i = 0; i < 2'000 && second->log.count("usage_history_started") == 0; ++i) {
        fixture.advance(millis{5});
    }
    REQUIRE(second->log.count("usage_history_started") == 1);
    second.reset();
    fixture.advance(millis{1'000});
    const auto third = fixture.make("n3", 3);
    const usage_window later = current_window(*third, fixture);
    fixture.advance(millis{15'000});
    CHECK_FALSE(is_reported(*third, window));
    CHECK(is_reported(*third, later));
}
