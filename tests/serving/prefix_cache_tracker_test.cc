#include "jujubetide/serving/prefix_cache_tracker.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const backend_server_id server("one");
const backend_server_id other("other");
constexpr time_point start{micros{1'000'000}};

} // namespace

TEST_CASE("a prompt shares its prefixes, but not its last part") {
    const std::vector<prompt_part> first = {{"a", 10}, {"b", 20}, {"own-1", 5}};
    const std::vector<prompt_part> second = {{"a", 10}, {"c", 20}, {"own-2", 5}};
    const auto prefixes = shared_prefixes(first);
    REQUIRE(prefixes.size() == 2);
    CHECK(prefixes[1].tokens == 30);
    CHECK(shared_prefixes(second)[0].key == prefixes[0].key);
    CHECK(shared_prefixes(second)[1].key != prefixes[1].key);
    CHECK(shared_prefixes({}).empty());
}

TEST_CASE("the hit probability of a prefix decays, and is zero once the server is forgotten") {
    prefix_cache_tracker tracker;
    const prefix_key key(5);
    tracker.on_prefix_cached(key, server, start);
    CHECK(tracker.hit_probability(key, server, start) > 0.9);
    CHECK(tracker.hit_probability(key, other, start) == 0.0);
    CHECK(tracker.hit_probability(key, server, start + std::chrono::seconds(50)) < 0.5);
    tracker.expire(start + prefix_cache_tracker::retention_time);
    CHECK(tracker.hit_probability(key, server, start) == 0.0);
    tracker.on_prefix_cached(key, server, start);
    tracker.forget(server);
    CHECK(tracker.hit_probability(key, server, start) == 0.0);
}

TEST_CASE("own prefixes are reported to peers once, and those of peers never") {
    prefix_cache_tracker tracker;
    tracker.on_own_prefix_cached(prefix_key(1), server, start);
    tracker.on_prefix_cached(prefix_key(2), server, start);
    CHECK(tracker.take_updates().size() == 1);
    CHECK(tracker.take_updates().empty());
}
