#include "peer/node_metrics.h"
#include "support/eventually.h"

#include "jujubetide/peer/nghttp2_peer_link.h"

#include <catch2/catch.hpp>
#include <prometheus/text_serializer.h>

using namespace jujubetide;

namespace {

std::string text_of(const prometheus::Registry& registry) {
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

/// The value of a series; -1 where it is missing.
double value_of(const prometheus::Registry& registry, const std::string& series) {
    const std::string text = text_of(registry);
    const std::size_t place = text.find("\n" + series + " ");
    return place == std::string::npos ? -1.0 : std::stod(text.substr(place + series.size() + 2));
}

snapshot_ptr settings_at(std::uint64_t number, const std::string& version) {
    settings_snapshot::parts parts;
    parts.at = revision(number);
    service_settings service;
    service.id = service_id("diagnosis");
    service.version = version_id(version);
    parts.services = {service};
    return settings_snapshot::make(std::move(parts));
}

version_move move_in(move_state state, double share, std::uint64_t step) {
    version_move move;
    move.id = move_id("m1");
    move.service = service_id("diagnosis");
    move.from = version_id("v1");
    move.to = version_id("v2");
    move.state = state;
    move.share = share;
    move.step = sequence_number(step);
    return move;
}

} // namespace

TEST_CASE("bytes and messages between nodes are counted by kind and direction") {
    const auto server = nghttp2_peer_link::make({"127.0.0.1", 0}, node_id("server"));
    const auto client = nghttp2_peer_link::make({"127.0.0.1", 0}, node_id("client"));
    REQUIRE(server.ok());
    REQUIRE(client.ok());
    (*server)->set_handler(peer_message_kind::facts, [](const peer_message&) {
        return absl::StatusOr<std::string>(std::string(500, 'a'));
    });
    const blackboard boards;
    prometheus::Registry sent;
    prometheus::Registry received;
    node_metrics at_client(sent);
    node_metrics at_server(received);
    const std::string labels = R"({direction="out",kind="facts"})";
    const std::string in_labels = R"({direction="in",kind="facts"})";
    for (int calls = 1; calls <= 2; ++calls) {
        REQUIRE((*client)
                    ->call((*server)->listening(), peer_message_kind::facts,
                           std::string(1'000, 'x'), millis{60'000})
                    .ok());
        at_client.update(boards, (*client)->traffic());
        at_server.update(boards, (*server)->traffic());
        CHECK(value_of(sent, "jujubetide_control_messages_total" + labels) == calls);
        CHECK(value_of(sent, "jujubetide_control_bytes_total" + labels) >= calls * 1'000);
        CHECK(value_of(sent, "jujubetide_control_bytes_total" + in_labels) >= calls * 500);
        CHECK(value_of(received, "jujubetide_control_messages_total" + in_labels) == calls);
        CHECK(value_of(received, "jujubetide_control_bytes_total" + in_labels) >= calls * 1'000);
    }
    // Without further traffic the counters stay.
    at_client.update(boards, (*client)->traffic());
    CHECK(value_of(sent, "jujubetide_control_messages_total" + labels) == 2);
}

TEST_CASE("kinds that this version does not know are counted together") {
    prometheus::Registry registry;
    node_metrics metrics(registry);
    metrics.update({}, {{static_cast<peer_message_kind>(30), 0, 10, 0, 1},
                        {static_cast<peer_message_kind>(31), 0, 20, 0, 2}});
    CHECK(value_of(registry, R"(jujubetide_control_bytes_total{direction="in",kind="unknown"})") ==
          30);
}

TEST_CASE("revision, members and shares of versions follow the boards") {
    prometheus::Registry registry;
    node_metrics metrics(registry);
    blackboard boards;
    const auto share = [&](const std::string& version) {
        metrics.update(boards, {});
        return value_of(registry, "jujubetide_version_share{service=\"diagnosis\",version=\"" +
                                      version + "\"}");
    };
    boards.settings.offer(settings_at(3, "v1"));
    member dead;
    dead.node = node_id("gone");
    dead.health = member_health::dead;
    boards.members.merge(dead);
    dead.node = node_id("here");
    dead.health = member_health::suspected;
    boards.members.merge(dead);
    CHECK(share("v1") == 1.0);
    CHECK(share("v2") == -1.0);
    CHECK(value_of(registry, "jujubetide_settings_revision") == 3);
    CHECK(value_of(registry, "jujubetide_members") == 1);

    boards.moves.merge(move_in(move_state::ramp, 0.25, 2));
    CHECK(share("v1") == 0.75);
    CHECK(share("v2") == 0.25);
    boards.moves.merge(move_in(move_state::done, 1.0, 3));
    CHECK(share("v1") == 0.0);
    CHECK(share("v2") == 1.0);
    boards.settings.offer(settings_at(4, "v3"));
    CHECK(share("v2") == 0.0);
    CHECK(share("v3") == 1.0);
}
