#include "jujubetide/membership/overlay.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace jujubetide;

namespace {

std::vector<member> members_of(std::size_t count, std::size_t regions, std::size_t seed) {
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i) {
        member record;
        record.node = node_id("n" + std::to_string(seed) + "-" + std::to_string(i));
        record.failure_domain = failure_domain_id(std::to_string(i % (4 * regions)));
        record.region = region_id(std::to_string(i % (4 * regions) % regions));
        members.push_back(record);
    }
    return members;
}

using graph = std::map<node_id, std::set<node_id>>;

graph graph_of(const std::vector<member>& members) {
    graph links;
    for (const member& self : members) {
        links[self.node];
        for (const member& other : choose_neighbours(self, members)) {
            links[self.node].insert(other.node);
        }
    }
    return links;
}

/// Number of nodes reached from the first one over nodes for which `up` holds.
template <class Up>
std::size_t reached(const graph& links, Up&& up) {
    std::set<node_id> seen;
    std::vector<node_id> open;
    for (const auto& [node, peers] : links) {
        if (up(node)) {
            open.push_back(node);
            break;
        }
    }
    while (!open.empty()) {
        const node_id node = open.back();
        open.pop_back();
        if (!up(node) || !seen.insert(node).second) {
            continue;
        }
        open.insert(open.end(), links.at(node).begin(), links.at(node).end());
    }
    return seen.size();
}

} // namespace

TEST_CASE("the overlay is symmetric, connected and of about six neighbours") {
    for (std::size_t seed = 0; seed < 5; ++seed) {
        const std::vector<member> members = members_of(390, 2, seed);
        const graph links = graph_of(members);
        std::size_t degrees = 0;
        for (const auto& [node, peers] : links) {
            CHECK(peers.size() >= 3);
            degrees += peers.size();
            for (const node_id& peer : peers) {
                CHECK(links.at(peer).contains(node));
            }
        }
        const double mean = static_cast<double>(degrees) / 390.0;
        CHECK(mean > 5.0);
        CHECK(mean < 7.0);
        CHECK(reached(links, [](const node_id&) { return true; }) == 390);
    }
}

TEST_CASE("the overlay stays connected when a failure domain is lost") {
    const std::vector<member> members = members_of(390, 2, 9);
    const graph links = graph_of(members);
    std::set<node_id> lost;
    for (const member& record : members) {
        if (record.failure_domain == failure_domain_id("3")) {
            lost.insert(record.node);
        }
    }
    CHECK(reached(links, [&lost](const node_id& node) { return !lost.contains(node); }) ==
          390 - lost.size());
}

TEST_CASE("a small cluster fills its choices from the scopes that it has") {
    for (std::size_t count = 2; count <= 8; ++count) {
        const graph links = graph_of(members_of(count, 1, count));
        CHECK(reached(links, [](const node_id&) { return true; }) == count);
    }
}
