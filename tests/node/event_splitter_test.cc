#include "node/event_splitter.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

TEST_CASE("only whole events come out, however their bytes arrive") {
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        event_splitter splitter;
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += step) {
            out += splitter.feed(std::string_view(text).substr(at, step));
        }
        CHECK(out == text.substr(0, text.find("id: 3")));
        CHECK(splitter.rest() == "id: 3\ndata: c");
        CHECK(splitter.last_id() == "2");
        CHECK(splitter.events() == 2);
    }
}
