#include "node/table_readers.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace jujubetide;

namespace {

std::set<std::string> select_readers(const std::vector<table_reader_candidate>& nodes) {
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

std::vector<table_reader_candidate> make_nodes(int count) {
    std::vector<table_reader_candidate> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        nodes.push_back({node_id("n" + std::to_string(i)), i % 10 == 0 ? 0.5 : 0.12, true});
    }
    return nodes;
}

} // namespace

TEST_CASE("of many nodes, the three on the largest hosts are table readers") {
    for (const int count : {5, 72, 300}) {
        const auto nodes = make_nodes(count);
        const auto readers = select_readers(nodes);
        CHECK(readers.size() == 3);
        if (count > 30) {
            for (const std::string& reader : readers) {
                CHECK(reader.back() == '0'); // Each tenth node is on a large host.
            }
        }
    }
}

TEST_CASE("up to three nodes are all table readers") {
    CHECK(select_readers(make_nodes(1)).size() == 1);
    CHECK(select_readers(make_nodes(3)).size() == 3);
}

TEST_CASE("table readers that the store does not answer are replaced") {
    auto nodes = make_nodes(72);
    const auto before = select_readers(nodes);
    for (auto& node : nodes) {
        node.reaches_store = !before.contains(node.node.str());
    }
    const auto after = select_readers(nodes);
    CHECK(after.size() == 3);
    for (const std::string& reader : after) {
        CHECK_FALSE(before.contains(reader));
    }
}

TEST_CASE("the other two table readers stay when one ends") {
    auto nodes = make_nodes(72);
    const auto before = select_readers(nodes);
    std::erase_if(nodes, [&](const auto& node) { return node.node.str() == *before.begin(); });
    const auto after = select_readers(nodes);
    CHECK(after.size() == 3);
    CHECK(after.contains(*std::next(before.begin())));
    CHECK(after.contains(*before.rbegin()));
}
