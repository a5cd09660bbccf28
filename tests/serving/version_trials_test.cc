#include "jujubetide/serving/version_trials.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const service_id service("s");
const version_id old_version("v1");
const version_id new_version("v2");

backend_server server(const version_id& version, std::int64_t started_at_ms) {
    backend_server made;
    made.id = backend_server_id("i-" + version.str());
    made.service = service;
    made.version = version;
    made.started_at_ms = started_at_ms;
    return made;
}

struct trials_fixture {
    trials_fixture() {
        servers.put(old_server);
        servers.put(new_server);
        CHECK(trials.on_order({service, new_version}));
    }
    /// Sends calls to the new version whenever that is allowed; returns how many went there.
    int send(int calls) {
        int to_new = 0;
        for (int i = 0; i < calls; ++i) {
            const bool is_new = trials.may_send(new_server, servers);
            to_new += is_new ? 1 : 0;
            trials.on_sent(is_new ? new_server : old_server);
        }
        return to_new;
    }

    backend_server old_server = server(old_version, 1);
    backend_server new_server = server(new_version, 2);
    backend_list servers;
    version_trials trials{0.1};
};

} // namespace

TEST_CASE("a version on trial gets its share of a service's calls from the first one on") {
    trials_fixture fixture;
    CHECK(fixture.send(9) == 0);
    CHECK(fixture.send(991) == 100);
    CHECK(fixture.trials.may_send(fixture.old_server, fixture.servers));
}

TEST_CASE("a version on trial that gives bad answers is stopped for good") {
    trials_fixture fixture;
    for (std::uint64_t i = 1; i < version_trials::max_bad_answers; ++i) {
        CHECK_FALSE(fixture.trials.on_answer(fixture.new_server, true));
    }
    CHECK_FALSE(fixture.trials.on_answer(fixture.new_server, false));
    CHECK_FALSE(fixture.trials.on_answer(fixture.old_server, true));
    CHECK(fixture.trials.on_answer(fixture.new_server, true));
    CHECK(fixture.send(1'000) == 0);
    CHECK_FALSE(fixture.trials.on_order({service, new_version}));
    fixture.trials.on_order_removed(service);
    CHECK(fixture.send(1'000) == 0);
    CHECK(fixture.trials.on_order({service, version_id("v3")}));
    CHECK(fixture.trials.may_send(fixture.new_server, fixture.servers));
}

TEST_CASE("bad answers of a version at several nodes stop it at all of them") {
    trials_fixture fixture;
    constexpr std::uint64_t half = version_trials::max_bad_answers / 2;
    CHECK(fixture.trials.on_peer_reports(node_id("a"), {{service, new_version, half, false}})
              .empty());
    CHECK(fixture.trials.on_peer_reports(node_id("a"), {{service, new_version, half, false}})
              .empty());
    CHECK(
        fixture.trials.on_peer_reports(node_id("b"), {{service, old_version, half, true}}).empty());
    CHECK(fixture.trials.on_peer_reports(node_id("b"), {{service, new_version, half, false}})
              .size() == 1);
    CHECK(fixture.send(100) == 0);
    REQUIRE(fixture.trials.reports().size() == 1);
    CHECK(fixture.trials.reports()[0].is_stopped);
    CHECK(fixture.trials.reports()[0].bad_answers == 0); // Its own only.
}

TEST_CASE("a node that does not know the order learns from a peer that a version is stopped") {
    trials_fixture fixture;
    version_trials other{0.1};
    CHECK(other.may_send(fixture.new_server, fixture.servers));
    CHECK(other.on_peer_reports(node_id("a"), {{service, new_version, 3, true}}).size() == 1);
    CHECK_FALSE(other.may_send(fixture.new_server, fixture.servers));
}

TEST_CASE("an order to move back to the version that served before limits nothing") {
    trials_fixture fixture;
    CHECK(fixture.trials.on_order({service, old_version}));
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.trials.may_send(fixture.old_server, fixture.servers));
        fixture.trials.on_sent(fixture.old_server);
    }
}
