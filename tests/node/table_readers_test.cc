#include "node/table_readers.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace jujubetide;

namespace {

std::set<std::string> readers_among(const std::vector<table_reader_candidate>& nodes) {
    std::set<std::string> readers;
    for (const table_reader_candidate& self : nodes) {
        std::vector<table_reader_candidate> others;
        for (const table_reader_candidate& other : nodes) {
            if (other.node != self.node) {
                others.push_back(other);
            }
        }
        if (is_among_readers(self, others)) {
            readers.insert(self.node.str());
        }
    }
    return readers;
}

std::vector<table_reader_candidate> many_nodes(int count) {
    std::vector<table_reader_candidate> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        nodes.push_back({node_id("n" + std::to_string(i)), i % 10 == 0 ? 0.5 : 0.12, true});
    }
    return nodes;
}

} // namespace

TEST_CASE("three of many nodes follow the tables, on the largest hosts") {
    for (const int count : {5, 72, 300}) {
        const auto nodes = many_nodes(count);
        const auto readers = readers_among(nodes);
        CHECK(readers.size() == 3);
        if (count > 30) {
            for (const std::string& reader : readers) {
                CHECK(reader.back() == '0'); // Each tenth node is a large one.
            }
        }
    }
}

TEST_CASE("all of few nodes follow the tables") {
    CHECK(readers_among(many_nodes(1)).size() == 1);
    CHECK(readers_among(many_nodes(3)).size() == 3);
}

TEST_CASE("nodes that the store does not answer are replaced as readers") {
    auto nodes = many_nodes(72);
    const auto before = readers_among(nodes);
    for (auto& node : nodes) {
        node.reaches_store = !before.contains(node.node.str());
    }
    const auto after = readers_among(nodes);
    CHECK(after.size() == 3);
    for (const std::string& reader : after) {
        CHECK_FALSE(before.contains(reader));
    }
}

TEST_CASE("the end of a reader changes nothing for the other two") {
    auto nodes = many_nodes(72);
    const auto before = readers_among(nodes);
    std::erase_if(nodes, [&](const auto& one) { return one.node.str() == *before.begin(); });
    const auto after = readers_among(nodes);
    CHECK(after.size() == 3);
    CHECK(after.contains(*std::next(before.begin())));
    CHECK(after.contains(*before.rbegin()));
}
