#include "standins/standin_cloud.h"
#include "support/eventually.h"
#include "support/manual_clock.h"
#include "support/manual_timer_service.h"
#include "support/quiet_log.h"

#include "jujubetide/platform/leaving_watcher.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>

using namespace jujubetide;

namespace {

/// Counts how often each host is published.
class counting_publisher final : public fact_publisher {
public:
    [[nodiscard]] int published(const std::string& host) {
        const std::lock_guard lock(mutex_);
        return hosts_[host_id(host)];
    }

protected:
    void do_leaving_host(const host_id& host) override {
        const std::lock_guard lock(mutex_);
        ++hosts_[host];
    }
    void do_move(const version_move& /*record*/) override {}
    void do_settings(const snapshot_ptr& /*snapshot*/) override {}
    void do_leaving_self() override {}

private:
    std::mutex mutex_;
    std::map<host_id, int> hosts_;
};

/// Passes on the answers of a cloud and its list, counts the reads and can be away.
class counted_source final : public cloud, public host_list {
public:
    explicit counted_source(standin_cloud& hosts) : hosts_(hosts) {}
    std::atomic<bool> down{false};
    std::atomic<int> notice_reads{0};
    std::atomic<int> list_reads{0};

protected:
    absl::StatusOr<host_id> do_start(const host_start& request) override {
        return hosts_.start(request);
    }
    absl::Status do_stop(const host_id& host) override { return hosts_.stop(host); }
    absl::StatusOr<std::vector<reclaim_notice>> do_reclaim_notices() override {
        auto notices = hosts_.reclaim_notices();
        ++notice_reads;
        if (down) {
            return absl::UnavailableError("down");
        }
        return notices;
    }
    absl::StatusOr<std::vector<host_price>> do_prices() override { return hosts_.prices(); }
    absl::StatusOr<std::vector<listed_host>> do_list() override {
        auto listed = hosts_.list();
        ++list_reads;
        return listed;
    }

private:
    standin_cloud& hosts_;
};

struct watched_cloud {
    watched_cloud() {
        for (const char* host : {"h1", "h2"}) {
            hosts.add_host(
                {host_id(host), failure_domain_id("komarno"), host_class_id("small"), true, false});
        }
    }
    /// Lets the time go by and waits until all reads that were due have ended.
    void run(millis length, int notice_reads, int list_reads) {
        timers.advance(length);
        REQUIRE(eventually([&] { return source.notice_reads >= notice_reads; }));
        REQUIRE(eventually([&] { return source.list_reads >= list_reads; }));
    }

    manual_clock time;
    quiet_log log;
    standin_cloud hosts{time};
    counted_source source{hosts};
    counting_publisher facts;
    manual_timer_service timers;
    leaving_watcher watcher{source, source, facts, timers, log};
};

} // namespace

TEST_CASE("a reclaim notice is published within the period of notices, once") {
    watched_cloud world;
    world.hosts.set_list_lag(millis{3'600'000});
    world.run(millis{0}, 1, 1);
    CHECK(world.facts.published("h1") == 0);
    world.hosts.reclaim_host(host_id("h1"), millis{30'000});
    world.run(millis{500}, 2, 1);
    CHECK(eventually([&] { return world.facts.published("h1") == 1; }));
    for (int i = 3; i < 10; ++i) {
        world.run(millis{500}, i, 1);
    }
    CHECK(world.facts.published("h1") == 1);
    CHECK(world.facts.published("h2") == 0);
}

TEST_CASE("the list of hosts finds what the notices missed") {
    watched_cloud world;
    world.source.down = true;
    world.run(millis{0}, 1, 1);
    world.hosts.reclaim_domain(failure_domain_id("komarno"), millis{60'000});
    world.run(millis{10'000}, 2, 2);
    CHECK(eventually(
        [&] { return world.facts.published("h1") == 1 && world.facts.published("h2") == 1; }));
    world.source.down = false;
    const int reads = world.source.notice_reads;
    world.run(millis{500}, reads + 1, 2);
    world.run(millis{500}, reads + 2, 2);
    CHECK(world.facts.published("h1") == 1);
}
