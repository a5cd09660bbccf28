#include "jujubetide/serving/prefix_cache_tracker.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const backend_server_id one("one");
const backend_server_id other("other");
constexpr time_point start{micros{1'000'000}};

} // namespace

TEST_CASE("a prompt shares its beginnings, not its last part") {
    const std::vector<prompt_part> first = {{"a", 10}, {"b", 20}, {"own-1", 5}};
    const std::vector<prompt_part> second = {{"a", 10}, {"c", 20}, {"own-2", 5}};
    const auto prefixes = shared_prefixes(first);
    REQUIRE(prefixes.size() == 2);
    CHECK(prefixes[1].tokens == 30);
    CHECK(shared_prefixes(second)[0].key == prefixes[0].key);
    CHECK(shared_prefixes(second)[1].key != prefixes[1].key);
    CHECK(shared_prefixes({}).empty());
}

TEST_CASE("belief in a reading fades, and ends with the server") {
    prefix_cache_tracker memory;
    const prefix_key key(5);
    memory.on_prefix_cached(key, one, start);
    CHECK(memory.hit_probability(key, one, start) > 0.9);
    CHECK(memory.hit_probability(key, other, start) == 0.0);
    CHECK(memory.hit_probability(key, one, start + std::chrono::seconds(50)) < 0.5);
    memory.expire(start + prefix_cache_tracker::retention_time);
    CHECK(memory.hit_probability(key, one, start) == 0.0);
    memory.on_prefix_cached(key, one, start);
    memory.forget(one);
    CHECK(memory.hit_probability(key, one, start) == 0.0);
}

TEST_CASE("own readings are news once, others' are not") {
    prefix_cache_tracker memory;
    memory.on_own_prefix_cached(prefix_key(1), one, start);
    memory.on_prefix_cached(prefix_key(2), one, start);
    CHECK(memory.take_updates().size() == 1);
    CHECK(memory.take_updates().empty());
}
