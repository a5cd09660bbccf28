#include "standins/standin_table.h"
#include "support/faulty_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/lease/lease_keeper.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>

using namespace jujubetide;

namespace {

constexpr millis longest_order{5'000};

lease_options options_for(const std::string& holder) {
    return {lease_id("orders"), holder, millis{15'000}, millis{1'000}, longest_order};
}

struct process {
    process(table& rows, const manual_clock& time, log_sink& log, const std::string& name)
        : platform(rows), keeper(platform, time, log, options_for(name)) {}

    faulty_table platform;
    lease_keeper keeper;
    bool frozen = false;
};

/// The last order that any process was permitted, with what it bars others from.
struct last_order {
    time_point at{};
    std::size_t process = 0;
    fencing_number fencing;
};

/// Three processes and random faults: freezes, outages, lost replies, late commits, releases.
class random_run {
public:
    explicit random_run(std::uint64_t seed) : random_(seed) {}

    void step() {
        process& actor = processes_[random_.below(processes_.size())];
        switch (random_.below(12)) {
        case 0:
            actor.frozen = !actor.frozen;
            break;
        case 1:
            actor.platform.down = !actor.platform.down;
            break;
        case 2:
            actor.platform.lost_commit_replies = 1;
            break;
        case 3:
            actor.platform.late_commits = 1;
            break;
        case 4:
            actor.platform.deliver_late_commits();
            break;
        case 5:
            if (!actor.frozen && random_.below(4) == 0) {
                release(actor);
            }
            break;
        default:
            time_.advance(millis{random_.below(3'000)});
            if (!actor.frozen) {
                actor.keeper.step().IgnoreError();
            }
        }
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            check_permits(i);
        }
    }
    [[nodiscard]] int permits() const { return permits_; }
    [[nodiscard]] std::size_t holders() const { return holder_of_.size(); }

private:
    /// The holder waits for its orders before it releases, so that the last one has ended.
    void release(process& actor) {
        actor.keeper.release().IgnoreError();
        if (&processes_[last_.process] == &actor) {
            last_.at = std::min(last_.at, time_.now() - longest_order);
        }
    }
    void check_permits(std::size_t index) {
        const auto fencing = processes_[index].keeper.permit_order(true);
        if (!fencing.ok()) {
            return;
        }
        ++permits_;
        const auto [holder, first] = holder_of_.emplace(*fencing, index);
        REQUIRE(holder->second == index);
        if (last_.fencing != fencing_number() && last_.process != index) {
            REQUIRE(*fencing > last_.fencing);
            REQUIRE(time_.now() >= last_.at + longest_order);
            const bool unchecked = processes_[index].keeper.permit_order(false).ok();
            REQUIRE((!unchecked || time_.now() >= last_.at + 2 * longest_order));
        }
        last_ = {time_.now(), index, *fencing};
    }

    seeded_random random_;
    manual_clock time_;
    quiet_log log_;
    standin_table rows_;
    std::array<process, 3> processes_{process(rows_, time_, log_, "a"),
                                      process(rows_, time_, log_, "b"),
                                      process(rows_, time_, log_, "c")};
    last_order last_;
    std::map<fencing_number, std::size_t> holder_of_;
    int permits_ = 0;
};

} // namespace

TEST_CASE("no two processes may order at once, whatever fails") {
    int permits = 0;
    std::size_t holders = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        random_run run(seed);
        for (int i = 0; i < 400; ++i) {
            run.step();
        }
        permits += run.permits();
        holders += run.holders();
    }
    // The runs are worth something only if leases are held and change hands.
    CHECK(permits > 10'000);
    CHECK(holders > 400);
}
