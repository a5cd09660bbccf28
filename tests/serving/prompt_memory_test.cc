#include "jujubetide/serving/prompt_memory.h"

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
    prompt_memory memory;
    const prefix_key key(5);
    memory.on_read(key, one, start);
    CHECK(memory.belief(key, one, start) > 0.9);
    CHECK(memory.belief(key, other, start) == 0.0);
    CHECK(memory.belief(key, one, start + std::chrono::seconds(50)) < 0.5);
    memory.expire(start + prompt_memory::lifetime);
    CHECK(memory.belief(key, one, start) == 0.0);
    memory.on_read(key, one, start);
    memory.forget(one);
    CHECK(memory.belief(key, one, start) == 0.0);
}

TEST_CASE("own readings are news once, others' are not") {
    prompt_memory memory;
    memory.on_own_read(prefix_key(1), one, start);
    memory.on_read(prefix_key(2), one, start);
    CHECK(memory.take_news().size() == 1);
    CHECK(memory.take_news().empty());
}
