#include "jujubetide/serving/directory_selection.h"

#include <catch2/catch.hpp>

#include <set>

using namespace jujubetide;

namespace {

std::vector<directory_entry> hosts(int large, int small) {
    std::vector<directory_entry> list;
    list.reserve(static_cast<std::size_t>(large) + static_cast<std::size_t>(small));
    for (int i = 0; i < large + small; ++i) {
        list.push_back({{"10.0.0." + std::to_string(i), 80}, i < large ? 0.5 : 0.12});
    }
    return list;
}

std::set<std::string> addresses(const std::vector<endpoint>& list) {
    std::set<std::string> names;
    for (const endpoint& host : list) {
        names.insert(host.address);
    }
    return names;
}

} // namespace

TEST_CASE("all hosts are listed while callers accept that many") {
    CHECK(select_for_directory(hosts(2, 10), failure_domain_id("z1"), 64).size() == 12);
}

TEST_CASE(
    "with more hosts than callers accept, every domain lists the large ones, and each host is "
    "listed in some domain") {
    std::set<std::string> listed;
    for (int zone = 0; zone < 5; ++zone) {
        const auto chosen = addresses(
            select_for_directory(hosts(10, 62), failure_domain_id("z" + std::to_string(zone)), 64));
        CHECK(chosen.size() == 64);
        for (const std::string& large :
             addresses(select_for_directory(hosts(10, 0), failure_domain_id("z1"), 64))) {
            CHECK(chosen.contains(large));
        }
        listed.insert(chosen.begin(), chosen.end());
    }
    CHECK(listed.size() == 72);
}

TEST_CASE("adding or removing a host changes the selection by at most that host") {
    auto all = hosts(10, 62);
    const auto before = addresses(select_for_directory(all, failure_domain_id("z1"), 64));
    const auto gone = all.begin() + 40;
    const std::string name = gone->caller_address.address;
    all.erase(gone);
    const auto after = addresses(select_for_directory(all, failure_domain_id("z1"), 64));
    int kept = 0;
    for (const std::string& address : before) {
        kept += after.contains(address) ? 1 : 0;
    }
    CHECK(kept >= (before.contains(name) ? 63 : 64));
}
