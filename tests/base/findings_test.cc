#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/findings.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("findings are reported together with their places") {
    findings found;
    CHECK(found.to_status().ok());
    found.add({"teams/frio/services/a.yaml", 3, "kind"}, "must be model or plain");
    found.add({"", 0, "routes[0].id"}, "is missing");
    CHECK(found.format() == "teams/frio/services/a.yaml:3: kind: must be model or plain\n"
                            "routes[0].id: is missing");
    CHECK(found.to_status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("an endpoint is an IPv4 number and a port") {
    CHECK(parse_endpoint("10.1.2.3:80")->str() == "10.1.2.3:80");
    for (const char* bad : {"", "80", "localhost:80", "10.1.2:80", "10.1.2.300:80",
                            "10.1.2.3:", "10.1.2.3:65536", "10.1.2.3:-1", "10.1.2.:80"}) {
        INFO(bad);
        CHECK_FALSE(parse_endpoint(bad).ok());
    }
}
