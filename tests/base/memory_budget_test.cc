#include "jujubetide/base/memory_share.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace jujubetide;

TEST_CASE("a share gives its bytes back when it ends") {
    memory_budget budget;
    budget.set_limit(1'000'000);
    {
        memory_share share(budget, memory_use::traffic);
        CHECK(share.resize(100'000));
        CHECK(share.resize(40'000));
        CHECK(budget.used() == 40'000);
    }
    CHECK(budget.used() == 0);
}

TEST_CASE("large shares are refused while small ones still fit") {
    memory_budget budget;
    budget.set_limit(1'000'000);
    std::vector<std::unique_ptr<memory_share>> shares(50);
    for (auto& share : shares) {
        share = std::make_unique<memory_share>(budget, memory_use::traffic);
    }
    // All grow until none may.
    for (bool has_grown = true; has_grown;) {
        has_grown = false;
        for (const auto& share : shares) {
            has_grown = share->resize(share->size() + 1'000) || has_grown;
        }
    }
    CHECK(budget.used() <= budget.limit());
    CHECK(budget.refusals() >= shares.size());
    memory_share other(budget, memory_use::traffic);
    CHECK(other.resize(10'000));
}

TEST_CASE("traffic leaves a reserve for control") {
    memory_budget budget;
    budget.set_limit(1'000'000);
    memory_share queue(budget, memory_use::traffic);
    queue.force(750'000);
    memory_share traffic(budget, memory_use::traffic);
    CHECK(traffic.resize(memory_budget::always_allowed_bytes));
    CHECK_FALSE(traffic.resize(10'000));
    memory_share control(budget, memory_use::control);
    CHECK(control.resize(240'000));
    CHECK_FALSE(control.resize(260'000));
}

TEST_CASE("a budget without a limit refuses nothing") {
    memory_budget budget;
    memory_share share(budget, memory_use::traffic);
    CHECK(share.resize(std::size_t{1} << 40U));
}
