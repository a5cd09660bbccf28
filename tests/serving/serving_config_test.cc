#include "jujubetide/serving/serving_config.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

serving_route route(const std::string& id, const std::string& host, const std::string& prefix) {
    serving_route result;
    result.id = route_id(id);
    result.host = host;
    result.prefix = prefix;
    return result;
}

} // namespace

TEST_CASE("the route of the host with the longest matching prefix is selected") {
    serving_config::parts parts;
    parts.routes = {route("a", "one.example", "/a/"), route("ab", "one.example", "/a/b/"),
                    route("root", "two.example", "/")};
    const auto config = serving_config::make(parts);
    const auto id = [&](const char* host, const char* target) {
        const serving_route* found = config->find_route(host, target);
        return found == nullptr ? std::string("-") : found->id.str();
    };
    CHECK(id("one.example", "/a/") == "a");
    CHECK(id("one.example", "/a/x") == "a");
    CHECK(id("ONE.example", "/a/b/c?d=/e/") == "ab");
    CHECK(id("one.example", "/a/bc") == "a");
    CHECK(id("one.example", "/a") == "-");
    CHECK(id("one.example", "/b/a/") == "-");
    CHECK(id("one.example", "/x?/a/b/") == "-");
    CHECK(id("two.example", "/anything") == "root");
    CHECK(id("three.example", "/a/") == "-");
    CHECK(id("one.example", "") == "-");
}

TEST_CASE("a customer is found by a complete key only") {
    serving_config::parts parts;
    serving_customer customer;
    customer.id = customer_id("c");
    customer.keys = {"key-1", "key-2"};
    parts.customers = {customer};
    const auto config = serving_config::make(parts);
    REQUIRE(config->find_customer_by_key("key-2") != nullptr);
    CHECK(config->find_customer_by_key("key-2")->id == customer_id("c"));
    CHECK(config->find_customer_by_key("key") == nullptr);
    CHECK(config->find_customer_by_key("") == nullptr);
}
