#include "control/fleet_runner.h"
#include "control/own_facts.h"
#include "fleet_fakes.h"
#include "support/fake_table.h"
#include "support/faulty_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/fleet/least_cost_planner.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace jujubetide {
namespace {

constexpr micros step_period{5'000'000};
const service_id diagnosis("diagnosis");
const host_class_id small("small");

host_price price_in(const std::string& domain, std::uint64_t price) {
    return {small, failure_domain_id(domain), false, micro_price(price)};
}

/// The platform that control processes share; the service needs the capacity of three hosts.
struct shared_platform {
    fake_table rows;
    manual_clock time;
    quiet_log log;
    fake_cloud hosts;
    fake_activity activity;
    least_cost_planner planner;
    snapshot_ptr settings;

    shared_platform() {
        hosts.offers = {price_in("a", 100), price_in("b", 200)};
        settings_snapshot::parts parts;
        parts.at = revision(1);
        parts.fleet.emplace();
        parts.fleet->classes = {{small, 100.0}};
        parts.fleet->demands = {{diagnosis, 240.0, 0.8}};
        parts.fleet->weight_loads_at_once = 2;
        settings = settings_snapshot::make(std::move(parts));
    }

    void all_serve() {
        for (const listed_host& host : hosts.hosts) {
            activity.serving.insert(host.host);
        }
    }

    [[nodiscard]] std::size_t hosts_in(const std::string& domain) const {
        return static_cast<std::size_t>(
            std::count_if(hosts.hosts.begin(), hosts.hosts.end(), [&](const listed_host& host) {
                return host.failure_domain == failure_domain_id(domain);
            }));
    }
};

/// One control process.
struct control_node {
    shared_platform& platform;
    faulty_table table{platform.rows};
    fleet_store store{table};
    blackboard board;
    own_facts facts{board};
    lease_keeper lease;
    fleet_runner runner;

    control_node(shared_platform& shared, const std::string& name)
        : platform(shared),
          lease(table, shared.time, shared.log, lease_options{lease_id("fleet"), name}),
          runner({board, store, shared.hosts, shared.hosts, shared.activity, facts, shared.planner,
                  lease, shared.time, shared.log}) {
        board.settings.offer(shared.settings);
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            platform.time.advance(step_period);
            runner.step();
        }
    }

    /// Runs with all started hosts serving from the next step on.
    void settle(int steps) {
        for (int i = 0; i < steps; ++i) {
            run(1);
            platform.all_serve();
        }
    }
};

} // namespace

TEST_CASE("the plan's hosts are started within the weight loads at once") {
    shared_platform platform;
    control_node node(platform, "c1");
    node.run(20);
    CHECK(platform.hosts.hosts.size() == 2);
    platform.all_serve();
    node.settle(20);
    CHECK(platform.hosts_in("a") == 3);
    CHECK(platform.hosts.hosts.size() == 3);
}

TEST_CASE("without the lease, or without a fleet in the settings, nothing is started") {
    shared_platform platform;
    control_node holder(platform, "c1");
    REQUIRE(holder.lease.step().ok());
    control_node other(platform, "c2");
    other.run(1);
    CHECK(platform.hosts.start_calls == 0);

    settings_snapshot::parts none;
    none.at = revision(1);
    platform.settings = settings_snapshot::make(std::move(none));
    control_node without(platform, "c3");
    without.run(20);
    CHECK(platform.hosts.start_calls == 0);
}

TEST_CASE("a lost reply to a start leads to one host") {
    shared_platform platform;
    platform.hosts.lost_start_replies = 2;
    control_node node(platform, "c1");
    node.settle(20);
    CHECK(platform.hosts.hosts.size() == 3);
    CHECK(platform.hosts.start_calls == 5);
}

TEST_CASE("lost replies of the table lead to no further hosts") {
    shared_platform platform;
    control_node node(platform, "c1");
    node.run(1);
    node.table.lost_commit_replies = 6;
    node.settle(20);
    CHECK(node.table.lost_commit_replies == 0);
    CHECK(platform.hosts.hosts.size() == 3);
}

TEST_CASE("a refused offer is replaced by the next cheapest and tried again later") {
    shared_platform platform;
    platform.hosts.refused = {failure_domain_id("a")};
    control_node node(platform, "c1");
    node.settle(8);
    CHECK(platform.hosts_in("b") == 3);
    platform.hosts.refused.clear();
    node.settle(60);
    CHECK(platform.hosts_in("a") == 3);
    CHECK(platform.hosts_in("b") == 0);
}

TEST_CASE("a lease that lapses between the plan and the start sends no order") {
    shared_platform platform;
    control_node node(platform, "c1");
    node.run(1);
    // The process is suspended while it reads the list of hosts.
    platform.hosts.before_list = [&platform] { platform.time.advance(micros(60'000'000)); };
    node.run(1);
    CHECK(platform.hosts.start_calls == 0);
}

TEST_CASE("while the platform is down nothing is started or stopped, and each host once after") {
    shared_platform platform;
    control_node node(platform, "c1");
    node.run(1);
    platform.hosts.down = true;
    node.run(4);
    CHECK(platform.hosts.hosts.empty());
    platform.hosts.down = false;
    node.table.down = true;
    const int calls = platform.hosts.start_calls;
    node.run(20);
    CHECK(platform.hosts.start_calls == calls);
    node.table.down = false;
    node.settle(30);
    CHECK(platform.hosts.hosts.size() == 3);
}

TEST_CASE("after a death between order and record the next holder goes on without further hosts") {
    shared_platform platform;
    {
        control_node dying(platform, "c1");
        while (platform.hosts.start_calls == 0) {
            // The table is lost to the process as soon as its first order has left.
            dying.table.before_commit = [&] { dying.table.down = platform.hosts.start_calls > 0; };
            dying.run(1);
        }
        CHECK_FALSE(platform.hosts.hosts.empty());
    }
    control_node next(platform, "c2");
    next.settle(40);
    CHECK(platform.hosts.hosts.size() == 3);
}

TEST_CASE("of two holders that decide on the same state one fails") {
    shared_platform platform;
    fleet_store store(platform.rows);
    const auto seen = store.read();
    REQUIRE(seen.ok());
    fleet_row first;
    first.start_id = "diagnosis-1";
    fleet_row second;
    second.start_id = "diagnosis-2";
    CHECK(store.decide(*seen, {first}).ok());
    CHECK(absl::IsAborted(store.decide(*seen, {second})));
    const auto after = store.read();
    REQUIRE(after.ok());
    CHECK(after->rows.size() == 1);
    CHECK(after->next_number > seen->next_number);
}

TEST_CASE("a replaced host is marked as leaving and drained before it is stopped") {
    shared_platform platform;
    platform.hosts.offers = {price_in("b", 200)};
    control_node node(platform, "c1");
    node.settle(20);
    REQUIRE(platform.hosts_in("b") == 3);
    const std::vector<listed_host> old = platform.hosts.hosts;
    for (const listed_host& host : old) {
        platform.activity.busy.insert(host.host);
    }

    platform.hosts.offers.push_back(price_in("a", 100));
    node.run(20);
    // The replacements load: all old ones serve.
    CHECK(platform.hosts_in("a") == 2);
    CHECK_FALSE(node.board.backends.is_leaving(old.front().host));
    node.settle(20);
    CHECK(platform.hosts_in("a") == 3);
    for (const listed_host& host : old) {
        CHECK(node.board.backends.is_leaving(host.host));
    }
    // Work runs on them.
    CHECK(platform.hosts.stopped.empty());
    platform.activity.busy.clear();
    node.settle(10);
    CHECK(platform.hosts.stopped.size() == 3);
    CHECK(platform.hosts_in("b") == 0);
}

TEST_CASE("a host that does not drain is stopped after the bound") {
    shared_platform platform;
    platform.hosts.offers = {price_in("b", 200)};
    control_node node(platform, "c1");
    node.settle(20);
    for (const listed_host& host : platform.hosts.hosts) {
        platform.activity.busy.insert(host.host);
    }
    platform.hosts.offers.push_back(price_in("a", 100));
    const auto steps_in_bound =
        static_cast<int>(platform.settings->fleet()->drain_timeout / std::chrono::seconds(5));
    node.settle(steps_in_bound - 10);
    CHECK(platform.hosts.stopped.empty());
    node.settle(60);
    CHECK(platform.hosts.stopped.size() == 3);
}

TEST_CASE("declared hosts that run already count, and a reclaimed one is replaced") {
    shared_platform platform;
    for (const char* name : {"h1", "h2", "h3"}) {
        platform.hosts.hosts.push_back(
            {host_id(name), failure_domain_id("a"), small, false, false});
        platform.activity.services[host_id(name)] = diagnosis;
    }
    platform.all_serve();
    control_node node(platform, "c1");
    node.settle(20);
    CHECK(platform.hosts.start_calls == 0);
    node.board.backends.mark_leaving(host_id("h1"));
    node.settle(20);
    CHECK(platform.hosts.start_calls == 1);
    CHECK(platform.hosts.stopped.empty());
}

TEST_CASE("a started host that has gone is replaced") {
    shared_platform platform;
    control_node node(platform, "c1");
    node.settle(20);
    REQUIRE(platform.hosts.hosts.size() == 3);
    platform.hosts.hosts.pop_back();
    node.settle(20);
    CHECK(platform.hosts.hosts.size() == 3);
    CHECK(platform.hosts.started.size() == 4);
}

} // namespace jujubetide
