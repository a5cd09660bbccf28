#include "support/manual_clock.h"

#include "jujubetide/routing/prefix_router.h"
#include "jujubetide/routing/prompt_blocks.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace jujubetide {
namespace {

struct router_fixture {
    explicit router_fixture(std::size_t count) : servers(count) {
        for (std::size_t i = 0; i < count; ++i) {
            servers[i].id = backend_server_id("engine-" + std::to_string(i));
            servers[i].host = host_id("host-" + std::to_string(i));
            servers[i].version = version_id("v1");
            candidates.push_back(&servers[i]);
        }
    }

    route_query query_for(const std::string& prompt) const {
        route_query query;
        query.request = request_id("r" + std::to_string(prompt.size()));
        query.service = service_id("diagnosis");
        query.version = version_id("v1");
        query.prefix_hashes = hash_prompt_blocks(prompt);
        query.prompt_tokens = estimate_tokens(prompt);
        query.now = time.now();
        query.deadline = query.now + std::chrono::seconds(30);
        return query;
    }

    manual_clock time;
    backend_board board;
    prefix_router router{board, time};
    std::vector<backend_server_settings> servers;
    std::vector<const backend_server_settings*> candidates;
};

std::string history_of(char text) {
    return std::string(20'000, text);
}

} // namespace

TEST_CASE("a growing prompt returns to the server that holds its beginning") {
    router_fixture run(20);
    std::string prompt = history_of('a');
    const auto first = run.router.choose(run.query_for(prompt), run.candidates);
    REQUIRE(first.ok());
    CHECK(first->expected_cached == token_count(0));
    run.router.on_sent(run.query_for(prompt), *first);
    run.time.advance(std::chrono::seconds(20));
    prompt += std::string(1'000, 'b');
    const auto second = run.router.choose(run.query_for(prompt), run.candidates);
    CHECK(second->server == first->server);
    CHECK(second->expected_cached > token_count(4'000));
}

TEST_CASE("entries without knowledge agree on a prompt's home") {
    router_fixture one(200);
    router_fixture other(200);
    const std::string prompt = history_of('c');
    CHECK(one.router.choose(one.query_for(prompt), one.candidates)->server ==
          other.router.choose(other.query_for(prompt), other.candidates)->server);
}

TEST_CASE("a holder with a long queue is left for an idle server") {
    router_fixture run(4);
    const std::string prompt = history_of('d');
    const auto holder = run.router.choose(run.query_for(prompt), run.candidates);
    run.router.on_sent(run.query_for(prompt), *holder);
    run.time.advance(std::chrono::seconds(20));
    load_report load;
    load.sequence = sequence_number(1);
    load.running = 32;
    load.waiting = 20;
    load.waiting_prompt_tokens = token_count(200'000);
    run.board.report_load(holder->server, load, run.time.now());
    CHECK(run.router.choose(run.query_for(prompt), run.candidates)->server != holder->server);
}

TEST_CASE("a dropped prefix is not counted on") {
    router_fixture run(4);
    const std::string prompt = history_of('e');
    const auto holder = run.router.choose(run.query_for(prompt), run.candidates);
    run.router.on_sent(run.query_for(prompt), *holder);
    for (const std::uint64_t hash : run.query_for(prompt).prefix_hashes) {
        run.router.on_cache_event(holder->server, {sequence_number(1), hash, false});
    }
    CHECK(run.router.choose(run.query_for(prompt), run.candidates)->expected_cached ==
          token_count(0));
}

TEST_CASE("of servers that are as quick the cheaper one is taken") {
    router_fixture run(4);
    for (backend_server_settings& server : run.servers) {
        server.price = micro_price(200);
    }
    run.servers[2].price = micro_price(100);
    route_query query = run.query_for("short");
    CHECK(run.router.choose(query, run.candidates)->server == run.servers[2].id);
}

TEST_CASE("the index of prefixes is bounded") {
    constexpr std::size_t bound = 1'024;
    prefix_index index(bound);
    for (std::uint64_t i = 0; i < 10 * bound; ++i) {
        index.on_stored(server_hash(1), i << 32U, time_point(micros(static_cast<int>(i))));
    }
    CHECK(index.size() <= bound);
}

} // namespace jujubetide
