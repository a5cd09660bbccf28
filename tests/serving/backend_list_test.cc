#include "jujubetide/serving/backend_list.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

backend_server server(const std::string& id, bool leaving = false) {
    backend_server made;
    made.id = backend_server_id(id);
    made.service = service_id("s");
    made.leaving = leaving;
    return made;
}

std::vector<std::string> usable(const backend_list& list) {
    std::vector<std::string> ids;
    for (const backend_server* one : list.usable(service_id("s"))) {
        ids.push_back(one->id.str());
    }
    return ids;
}

constexpr time_point start{micros{1'000'000}};

/// What a reading of the whole table does to the list.
void read_table(backend_list& list, const std::vector<backend_server>& servers) {
    for (const backend_server& one : servers) {
        list.put(one);
    }
    for (const backend_server_id& id : list.missing_from(servers)) {
        list.remove(id, start);
    }
}

} // namespace

TEST_CASE("leaving servers get no new work and are gone once removed") {
    backend_list list;
    read_table(list, {server("a"), server("b")});
    list.put(server("a", true));
    CHECK(usable(list) == std::vector<std::string>{"b"});
    list.remove(backend_server_id("a"), start);
    CHECK(list.find(backend_server_id("a")) == nullptr);
}

TEST_CASE("when all registrations lapse at once their servers stay in use until they had time to "
          "come back") {
    backend_list list;
    read_table(list, {server("a"), server("b")});
    read_table(list, {});
    CHECK(usable(list).size() == 2);
    CHECK(list.expire(start + backend_list::reregistration_grace - millis{1}).empty());
    list.put(server("a"));
    CHECK(usable(list) == std::vector<std::string>{"a"});
    CHECK(list.expire(start + backend_list::reregistration_grace).size() == 1);
    CHECK(list.all().size() == 1);
}

TEST_CASE("a server that vanished is not used while others are registered") {
    backend_list list;
    read_table(list, {server("a"), server("b")});
    list.remove(backend_server_id("a"), start);
    CHECK(usable(list) == std::vector<std::string>{"b"});
}
