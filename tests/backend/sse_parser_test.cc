#include "jujubetide/backend/sse_parser.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

const std::string stream = ": comment\r\nid: 0\r\ndata: one\r\n\r\n"
                           "id:1\ndata: two\ndata:lines\nunknown: field\n\n"
                           "id: 9\n\n"
                           "event: end\rdata: {\"total\": 2}\r\r"
                           "id: 2\ndata: cut off\n";

void check_events(const std::vector<sse_event>& events) {
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == "0");
    CHECK(events[0].data == "one");
    CHECK(events[1].id == "1");
    CHECK(events[1].data == "two\nlines");
    CHECK(events[2].name == "end");
    CHECK(events[2].id.empty());
    CHECK(events[2].data == "{\"total\": 2}");
}

} // namespace

TEST_CASE("events are the same for every split of the bytes") {
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        sse_parser parser(1'000);
        std::vector<sse_event> events;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            const auto complete = parser.feed(std::string_view(stream).substr(at, step));
            REQUIRE(complete.ok());
            events.insert(events.end(), complete->begin(), complete->end());
        }
        check_events(events);
    }
}

TEST_CASE("an event is bounded, a stream is not") {
    sse_parser parser(20);
    for (int i = 0; i < 100; ++i) {
        REQUIRE(parser.feed("data: ten bytes\n\n").ok());
    }
    REQUIRE(parser.feed("data: a").ok());
    CHECK(parser.feed("\ndata: more than the rest\n\n").status().code() ==
          absl::StatusCode::kResourceExhausted);
}
