#include "jujubetide/serving/backend_list.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

constexpr time_point start{micros{1'000'000}};
const backend_server_id id("i-1");

backend_server server(std::int64_t started_at_ms = 0) {
    backend_server made;
    made.id = id;
    made.service = service_id("s");
    made.started_at_ms = started_at_ms;
    return made;
}

bool is_usable(const backend_list& list) {
    return !list.usable(service_id("s")).empty();
}

} // namespace

TEST_CASE("a server that said that it leaves stays out whatever its registration says") {
    backend_list list;
    list.put(server(7));
    CHECK(list.on_leaving_answer(server(7), start));
    CHECK_FALSE(list.on_leaving_answer(server(7), start));
    CHECK_FALSE(is_usable(list));
    SECTION("a row that says ready comes late") {
        list.put(server(7));
        CHECK_FALSE(is_usable(list));
    }
    SECTION("its row is removed and an older copy of it comes back") {
        list.remove(id, start);
        CHECK(list.find(id) == nullptr);
        list.put(server(5));
        CHECK_FALSE(is_usable(list));
    }
    SECTION("it is listed for longer than a notice is remembered") {
        for (micros at{0}; at < 2 * leaving_notices::lifetime; at += std::chrono::seconds(10)) {
            (void)list.expire(start + at);
        }
        CHECK_FALSE(is_usable(list));
    }
    SECTION("it starts again under its id") {
        list.put(server(9));
        CHECK(is_usable(list));
        CHECK_FALSE(list.on_leaving_answer(server(7), start)); // A late answer of the run before.
        CHECK(is_usable(list));
    }
}

TEST_CASE("a notice of a server that is gone is forgotten in the end") {
    backend_list list;
    CHECK(list.on_leaving_answer(server(), start));
    (void)list.expire(start + leaving_notices::lifetime - millis{1});
    CHECK(list.notices().count() == 1);
    (void)list.expire(start + leaving_notices::lifetime);
    CHECK(list.notices().count() == 0);
}

TEST_CASE("a peer's word keeps a server out for a limited time only") {
    backend_list list;
    list.put(server(7));
    CHECK(list.on_peer_leaving_reports({{id, 7, millis{100}}}, start).size() == 1);
    CHECK_FALSE(is_usable(list));
    CHECK(list.notices().reports(start).empty()); // Hearsay is not passed on.
    SECTION("until it is old") {
        (void)list.expire(start + leaving_notices::peer_lifetime - millis{101});
        CHECK_FALSE(is_usable(list));
        (void)list.expire(start + leaving_notices::peer_lifetime - millis{100});
        CHECK(is_usable(list));
    }
    SECTION("renewed by the next report") {
        CHECK(list.on_peer_leaving_reports({{id, 7, millis{0}}}, start + millis{5'000}).empty());
        (void)list.expire(start + leaving_notices::peer_lifetime);
        CHECK_FALSE(is_usable(list));
    }
    SECTION("until a newer registration says otherwise") {
        backend_server changed = server(7);
        changed.slots = 2;
        list.put(changed);
        CHECK(is_usable(list));
    }
    SECTION("unless the server says so itself") {
        CHECK(list.on_leaving_answer(server(7), start));
        (void)list.expire(start + leaving_notices::peer_lifetime);
        CHECK_FALSE(is_usable(list));
    }
}

TEST_CASE("a peer's word does not concern a later run of the server") {
    backend_list list;
    list.put(server(9));
    CHECK(list.on_peer_leaving_reports({{id, 7, millis{0}}}, start).empty());
    CHECK(is_usable(list));
    CHECK(list.on_peer_leaving_reports({{id, 9, leaving_notices::peer_lifetime}}, start).empty());
    CHECK(is_usable(list));
}

TEST_CASE("peers are told of a notice while it is new") {
    backend_list list;
    CHECK(list.on_leaving_answer(server(7), start));
    const auto reports = list.notices().reports(start + millis{200});
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].server == id);
    CHECK(reports[0].started_at_ms == 7);
    CHECK(reports[0].age == millis{200});
    CHECK(list.notices().reports(start + leaving_notices::report_time).empty());
}
