// The checker of soaks sees each broken promise when its last line comes.
#include "promise_checker.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

promise_checker checked(const std::vector<std::string>& lines) {
    promise_checker checker;
    for (const char* id : {"once1.c.1", "stream1.c.1", "resumed1.c.1"}) {
        checker.take(std::string("sent ") + id + " node n", millis{0});
    }
    for (const std::string& line : lines) {
        checker.take(line, millis{1});
    }
    return checker;
}

const std::string run = "run once1.c.1 engine e at a";

} // namespace

TEST_CASE("a promise is broken by a run before or after it") {
    for (const char* status : {"408", "421", "429", "503"}) {
        const std::string refused = std::string("answer once1.c.1 status ") + status + " node n";
        CHECK(checked({run, refused}).broken().at("once1.c.1") == "REFUSED");
        CHECK(checked({refused, run}).broken().at("once1.c.1") == "REFUSED");
        CHECK(checked({refused}).broken().empty());
    }
    CHECK(checked({run, "answer once1.c.1 status 502 node n"}).broken().empty());
}

TEST_CASE("a second run breaks a promise unless the route's requests may be repeated") {
    CHECK(checked({run, run}).broken().at("once1.c.1") == "TWICE");
    const std::string stream = "run stream1.c.1 engine e at a";
    CHECK(checked({stream, stream}).broken().at("stream1.c.1") == "TWICE");
    const std::string resumed = "run resumed1.c.1 engine e at a";
    CHECK(checked({resumed, resumed}).broken().empty());
}

TEST_CASE("a run of an attempt that no caller has sent is found") {
    CHECK(checked({"run once1.c.2 engine e at a"}).broken().at("once1.c.2") == "UNASKED");
}
