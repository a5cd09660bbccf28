// Servers whose connection ends at every position of their answer, in order or with a reset.
#include "node_fixture.h"
#include "support/ending_server.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

struct answer_shape {
    std::string name;
    std::string head;
    std::string body;
    /// Whether only the end of the connection ends the answer.
    bool ends_with_connection = false;
    /// The lengths of the body's beginnings that are complete answers.
    std::vector<std::size_t> complete_lengths;
};

const std::string own_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Upstream-Signature: s\r\n";

std::string as_chunk(const std::string& bytes) {
    return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

std::vector<answer_shape> shapes_of(const std::vector<std::string>& pieces) {
    std::string whole;
    std::string chunks;
    std::vector<std::size_t> ends;
    for (const std::string& piece : pieces) {
        whole += piece;
        chunks += as_chunk(piece);
        ends.push_back(whole.size());
    }
    const std::string length = absl::StrCat(own_head, "Content-Length: ", whole.size(), "\r\n\r\n");
    return {{"neither length nor chunks", own_head + "\r\n", whole, true, ends},
            {"length", length, whole, false, {whole.size()}},
            {"chunks",
             own_head + "Transfer-Encoding: chunked\r\n\r\n",
             chunks + "0\r\n\r\n",
             false,
             {chunks.size() + 5}}};
}

/// A body without events may end anywhere but before its first byte.
std::vector<answer_shape> plain_shapes() {
    std::vector<answer_shape> shapes = shapes_of({"answer"});
    for (std::size_t length = 1; length < shapes[0].body.size(); ++length) {
        shapes[0].complete_lengths.push_back(length);
    }
    return shapes;
}

/// A node with one server of each service whose answers end as the test says.
struct ending_fixture : node_fixture {
    explicit ending_fixture(const std::string& service) : server(loop) {
        // One attempt a call, so that each answer decides what its caller gets.
        start({{"often", {{"maxAttempts", 1}}}, {"resumed", {{"maxAttempts", 1}}}});
        store.put("servers", "i-1", registration_of_test(service, server.address()));
        REQUIRE(run_until(loop, [&] { return log.count("server_seen") == 1; }));
    }
    ending_server server;
};

void check_ending(ending_fixture& fixture, const std::string& path, const answer_shape& shape,
                  std::size_t length, ending end, bool is_complete) {
    INFO(path << ", " << shape.name << ", " << length << " bytes, "
              << (end == ending::reset ? "reset" : "closed"));
    fixture.server.answer_with((shape.head + shape.body).substr(0, length), end);
    const recorded_call got = fixture.call(path);
    CHECK((got.whole && got.head.status == 200) == is_complete);
    CHECK(fixture.server.requests() == 1);
}

/// Checks the answers that end after each position of the head and the body.
void check_all_endings(const std::vector<answer_shape>& shapes, const std::string& path,
                       const std::string& service) {
    ending_fixture fixture(service);
    for (const answer_shape& shape : shapes) {
        const std::size_t head = shape.head.size();
        for (std::size_t length = 0; length < head; ++length) {
            check_ending(fixture, path, shape, length, ending::closed, false);
            check_ending(fixture, path, shape, length, ending::reset, false);
        }
        const auto& ends = shape.complete_lengths;
        for (std::size_t length = 0; length <= shape.body.size(); ++length) {
            const bool is_complete = std::find(ends.begin(), ends.end(), length) != ends.end();
            check_ending(fixture, path, shape, head + length, ending::closed, is_complete);
            check_ending(fixture, path, shape, head + length, ending::reset,
                         is_complete && !shape.ends_with_connection);
        }
    }
}

} // namespace

TEST_CASE("a truncated stream is never framed as complete") {
    check_all_endings(shapes_of({event_text(1), event_text(2)}), "/stream/", "model");
}

TEST_CASE("a truncated stream that may be resumed is never framed as complete") {
    check_all_endings(shapes_of({event_text(1), event_text(2)}), "/resumed/", "model");
}

TEST_CASE("a truncated answer to a call that may run twice is never framed as complete") {
    check_all_endings(plain_shapes(), "/often/", "plain");
}

TEST_CASE("a truncated answer to a call that may run once is never framed as complete") {
    check_all_endings(plain_shapes(), "/once/", "plain");
}
