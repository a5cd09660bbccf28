#include "control/fleet_activity.h"

#include <catch2/catch.hpp>

namespace jujubetide {

TEST_CASE("a host serves and is idle as its declared backend servers report") {
    blackboard board;
    settings_snapshot::parts parts;
    parts.at = revision(1);
    backend_server_settings server;
    server.id = backend_server_id("engine-1");
    server.service = service_id("diagnosis");
    server.host = host_id("h1");
    parts.backend_servers.push_back(server);
    const reported_fleet_activity activity(board);
    CHECK_FALSE(activity.service_of(server.host));
    board.settings.offer(settings_snapshot::make(std::move(parts)));

    CHECK(activity.service_of(server.host) == server.service);
    CHECK_FALSE(activity.service_of(host_id("h2")));
    CHECK_FALSE(activity.serves(server.host));
    load_report load;
    load.sequence = sequence_number(1);
    load.running = 2;
    board.backends.report_load(server.id, load, time_point(micros(1)));
    CHECK(activity.serves(server.host));
    CHECK_FALSE(activity.is_idle(server.host));
    load.sequence = sequence_number(2);
    load.running = 0;
    board.backends.report_load(server.id, load, time_point(micros(2)));
    CHECK(activity.is_idle(server.host));
}

} // namespace jujubetide
