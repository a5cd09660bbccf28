#include "jujubetide/routing/least_loaded_router.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

backend_server_settings server(const char* id, const char* domain, const char* version = "v1") {
    backend_server_settings settings;
    settings.id = backend_server_id(id);
    settings.host = host_id(std::string("host-") + id);
    settings.failure_domain = failure_domain_id(domain);
    settings.version = version_id(version);
    return settings;
}

} // namespace

TEST_CASE("a retry goes to another failure domain where one is left") {
    backend_board board;
    least_loaded_router router(board);
    const auto a1 = server("a1", "a");
    const auto a2 = server("a2", "a");
    const auto b1 = server("b1", "b");
    const auto old = server("b2", "b", "v0");
    const std::vector<const backend_server_settings*> all{&a1, &a2, &b1, &old};
    route_query query;
    query.version = version_id("v1");
    query.tried = {a1.id};
    query.avoid_domain = failure_domain_id("a");
    CHECK(router.choose(query, all)->server == b1.id);

    board.mark_leaving(b1.host);
    CHECK(router.choose(query, all)->server == a2.id);
    board.mark_leaving(a2.host);
    CHECK(router.choose(query, all)->server == a1.id);
    board.mark_leaving(a1.host);
    CHECK(router.choose(query, all).status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("own work sent since the last report counts as load") {
    backend_board board;
    least_loaded_router router(board);
    const auto a = server("a", "a");
    const auto b = server("b", "b");
    const std::vector<const backend_server_settings*> all{&a, &b};
    route_query query;
    query.version = version_id("v1");
    const auto first = router.choose(query, all);
    router.on_sent(query, *first);
    CHECK(router.choose(query, all)->server != first->server);
}
