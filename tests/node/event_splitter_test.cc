#include "node/event_splitter.h"

#include "jujubetide/edge/boot_clock.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("only complete events are returned, however the bytes are split") {
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c";
    for (std::size_t chunk_size = 1; chunk_size <= text.size(); ++chunk_size) {
        event_splitter splitter;
        std::string out;
        for (std::size_t offset = 0; offset < text.size(); offset += chunk_size) {
            out += splitter.feed(std::string_view(text).substr(offset, chunk_size));
        }
        CHECK(out == text.substr(0, text.find("id: 3")));
        CHECK(splitter.incomplete() == "id: 3\ndata: c");
        CHECK(splitter.last_event_id() == "2");
        CHECK(splitter.event_count() == 2);
    }
}

TEST_CASE("an event in many small pieces does not take time by the square of its length") {
    // Callers abandon a stream after two seconds without an event.
    constexpr micros max_time{2'000'000};
    const boot_clock time;
    const time_point began = time.now();
    event_splitter splitter;
    std::size_t pieces = 0;
    bool is_complete = false;
    while (pieces < event_splitter::max_event_bytes && time.now() - began < max_time) {
        is_complete = is_complete || !splitter.feed("a").empty();
        ++pieces;
    }
    CHECK_FALSE(is_complete);
    CHECK(pieces == event_splitter::max_event_bytes);
    CHECK(splitter.feed("\n\n").size() == pieces + 2);
}

TEST_CASE("an event after a discarded one is complete at its own blank line") {
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\n\nid: 2\ndata: lost\nda") == "id: 1\n\n");
    splitter.discard_incomplete();
    CHECK(splitter.feed("id: 2\nda").empty());
    CHECK(splitter.feed("ta: b\n\nid") == "id: 2\ndata: b\n\n");
    CHECK(splitter.incomplete() == "id");
    CHECK(splitter.last_event_id() == "2");
}
