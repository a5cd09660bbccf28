#include "node/event_splitter.h"

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
