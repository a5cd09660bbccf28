#include "jujubetide/limits/share_admission.h"

#include <catch2/catch.hpp>

#include <string>

namespace jujubetide {
namespace {

/// A service that two customers call; each second the server ends `capacity` requests.
struct admission_fixture {
    share_admission limits;
    time_point now{std::chrono::seconds(100)};

    admission_query query(const std::string& customer, micros wait) const {
        admission_query asked;
        asked.service = service_id("diagnosis");
        asked.customer = customer_id(customer);
        asked.prompt_tokens = token_count(800);
        asked.estimated_first_piece = wait;
        asked.first_piece_target = std::chrono::milliseconds(400);
        asked.now = now;
        asked.deadline = now + std::chrono::seconds(2);
        return asked;
    }

    /// Asks `count` times and ends as many of the admitted as `ended`; returns how many were
    /// admitted.
    int second_of(const std::string& customer, int count, int ended, micros wait) {
        int admitted = 0;
        for (int i = 0; i < count; ++i) {
            const admission_query asked = query(customer, wait);
            if (!limits.decide(asked).admitted()) {
                continue;
            }
            ++admitted;
            if (admitted <= ended) {
                limits.on_finished(asked, now);
            }
        }
        return admitted;
    }
};

constexpr micros calm{10'000};
constexpr micros pressed{300'000};

} // namespace

TEST_CASE("what cannot begin before its deadline is refused with a time to come back") {
    admission_fixture run;
    const auto decision = run.limits.decide(run.query("a", std::chrono::seconds(3)));
    CHECK(decision.reason == refusal_reason::too_late);
    CHECK(decision.retry_after >= millis(1'000));
}

TEST_CASE("without pressure a customer may take more than its share") {
    admission_fixture run;
    run.second_of("small", 10, 10, calm);
    CHECK(run.second_of("large", 100, 50, calm) == 100);
}

TEST_CASE("under pressure a customer is held to its share and the others are not") {
    admission_fixture run;
    for (int second = 0; second < 10; ++second) {
        run.second_of("small", 10, 10, pressed);
        run.second_of("large", 100, 10, pressed);
        run.now += std::chrono::seconds(1);
    }
    CHECK(run.second_of("small", 10, 10, pressed) == 10);
    CHECK(run.second_of("large", 100, 10, pressed) < 50);
}

TEST_CASE("work told by other nodes counts against the customer's share") {
    admission_fixture run;
    customer_demand told;
    told.service = service_id("diagnosis");
    told.customer = customer_id("large");
    told.tokens_per_second = 100'000;
    // The server does not keep up with what is admitted.
    run.second_of("small", 10, 8, pressed);
    CHECK(run.second_of("large", 5, 1, pressed) == 5);
    run.limits.set_remote_demand({told}, run.now);
    CHECK(run.second_of("large", 5, 5, pressed) == 0);
    CHECK(run.second_of("small", 5, 5, pressed) == 5);
}

TEST_CASE("work that other nodes do not tell again is forgotten") {
    const auto admitted_after = [](std::chrono::seconds pause, bool told_none) {
        admission_fixture run;
        run.second_of("small", 10, 8, pressed);
        customer_demand told{service_id("diagnosis"), customer_id("large"), 1.0, 100'000};
        run.limits.set_remote_demand({told}, run.now);
        if (told_none) {
            run.limits.set_remote_demand({}, run.now);
        }
        run.now += pause;
        run.second_of("small", 10, 8, pressed);
        return run.second_of("large", 5, 5, pressed);
    };
    CHECK(admitted_after(std::chrono::seconds(1), false) == 0);
    CHECK(admitted_after(std::chrono::seconds(1), true) == 5);
    CHECK(admitted_after(std::chrono::seconds(11), false) == 5);
}

TEST_CASE("a node tells its customers' demand") {
    admission_fixture run;
    run.second_of("small", 10, 10, calm);
    const auto demand = run.limits.own_demand(run.now);
    REQUIRE(demand.size() == 1);
    CHECK(demand[0].customer == customer_id("small"));
    CHECK(demand[0].tokens_per_second == Approx(10 * 1'000 / 5.0));
    run.now += std::chrono::minutes(5);
    CHECK(run.limits.own_demand(run.now).empty());
}

} // namespace jujubetide
