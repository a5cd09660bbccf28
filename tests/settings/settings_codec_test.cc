#include "jujubetide/settings/settings_codec.h"
#include "jujubetide/settings/settings_parser.h"
#include "jujubetide/settings/sha256.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

snapshot_ptr snapshot_of(const settings_documents& documents, std::uint64_t at) {
    findings found;
    snapshot_ptr snapshot = parse_settings(documents, revision(at), found);
    REQUIRE(found.format().empty());
    return snapshot;
}

std::string service(const std::string& version) {
    return "kind: model\nversion: " + version + "\nroutes: [{id: notes}]\n";
}

} // namespace

TEST_CASE("a snapshot arrives at a peer as it was sent") {
    const auto sent = snapshot_of({{"/teams/a/services/x", service("v1")}}, 4);
    const auto received = decode_settings(encode_settings(*sent));
    REQUIRE(received.ok());
    CHECK((*received)->at() == revision{4});
    CHECK((*received)->documents() == sent->documents());
}

TEST_CASE("a delta holds only what changed and fits only its base") {
    const auto before = snapshot_of(
        {{"/teams/a/services/x", service("v1")}, {"/teams/a/services/y", service("v1")}}, 4);
    const auto after = snapshot_of(
        {{"/teams/a/services/x", service("v2")}, {"/teams/a/services/z", service("v1")}}, 6);
    const std::string delta = encode_settings_delta(*before, *after);
    const auto received = decode_settings_delta(delta, *before);
    REQUIRE(received.ok());
    CHECK((*received)->at() == revision{6});
    CHECK((*received)->documents() == after->documents());
    CHECK(decode_settings_delta(delta, *after).status().code() ==
          absl::StatusCode::kFailedPrecondition);
    CHECK_FALSE(decode_settings(delta).ok());
}

TEST_CASE("a damaged message is refused") {
    const auto sent = snapshot_of({{"/teams/a/services/x", service("v1")}}, 4);
    const std::string message = encode_settings(*sent);
    for (std::size_t i = 0; i < message.size(); ++i) {
        CHECK_FALSE(decode_settings(message.substr(0, i)).ok());
        std::string flipped = message;
        flipped[i] = static_cast<char>(flipped[i] ^ 1);
        const auto received = decode_settings(flipped);
        CHECK((!received.ok() || (*received)->documents() == sent->documents()));
    }
}

TEST_CASE("key hashes are SHA-256") {
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
