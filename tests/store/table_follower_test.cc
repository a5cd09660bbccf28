#include "support/fake_row_store.h"
#include "support/manual_clock.h"
#include "support/manual_timer_service.h"

#include "jujubetide/store/table_follower.h"

#include <catch2/catch.hpp>

#include <map>

using namespace jujubetide;

namespace {

class recording_observer final : public table_observer {
public:
    std::map<std::string, std::string> rows;
    int snapshots = 0;
    int outages = 0;
    int recoveries = 0;

protected:
    void do_snapshot(const std::vector<stored_row>& all, store_position) override {
        ++snapshots;
        rows.clear();
        do_changes(all);
    }
    void do_changes(const std::vector<stored_row>& changed) override {
        for (const stored_row& row : changed) {
            if (row.removed) {
                rows.erase(row.key);
            } else {
                rows[row.key] = row.value;
            }
        }
    }
    void do_store_unavailable(const absl::Status&) override { ++outages; }
    void do_store_recovered() override { ++recoveries; }
};

struct follower_fixture {
    void advance(millis step) {
        for (millis done{0}; done < step; done += millis{1}) {
            time.advance(millis{1});
            timers.advance(millis{1});
        }
    }

    manual_clock time;
    manual_timer_service timers;
    seeded_random random{1};
    fake_row_store store{timers};
    recording_observer observer;
    table_follower follower{store, timers, time, random, "t", observer};
};

} // namespace

TEST_CASE("the follower delivers the table and then its changes") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.store.put("other", "x", "9");
    fixture.follower.start();
    fixture.advance(millis{10});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "1"}});
    fixture.store.put("t", "b", "2");
    fixture.store.remove("t", "a");
    fixture.advance(millis{500});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(fixture.observer.snapshots == 1);
}

TEST_CASE("changes in quick succession are batched into few calls") {
    follower_fixture fixture;
    fixture.follower.start();
    fixture.advance(millis{10});
    for (int i = 0; i < 100; ++i) {
        fixture.store.put("t", "a", std::to_string(i));
        fixture.advance(millis{10});
    }
    fixture.advance(millis{300});
    CHECK(fixture.observer.rows["a"] == "99");
    CHECK(fixture.store.change_calls <= 8);
}

TEST_CASE("the follower reads the table again when the store no longer keeps the history") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.set_failure(absl::UnavailableError("down"));
    fixture.advance(millis{1'000});
    fixture.store.remove("t", "a");
    fixture.store.put("t", "b", "2");
    fixture.store.forget_history();
    fixture.store.set_failure(absl::OkStatus());
    fixture.advance(millis{2'000});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(fixture.observer.outages == 1);
    CHECK(fixture.observer.recoveries == 1);
}

TEST_CASE("the rows are kept and the store is called rarely while it is unavailable") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.set_failure(absl::DeadlineExceededError("no answer"));
    const int before = fixture.store.change_calls;
    fixture.advance(millis{10'000});
    CHECK(fixture.observer.rows.contains("a"));
    CHECK(fixture.store.change_calls - before <= 20);
    fixture.store.set_failure(absl::OkStatus());
    fixture.store.put("t", "a", "2");
    fixture.advance(millis{1'500});
    CHECK(fixture.observer.rows["a"] == "2");
}

TEST_CASE("a newer table from another follower is adopted, an older one is rejected") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.set_failure(absl::UnavailableError("overloaded"));
    fixture.advance(millis{500});
    row_batch newer;
    newer.era = fixture.follower.position().era;
    newer.version = row_version(5);
    newer.rows.push_back({"b", "2", row_version(5), false});
    CHECK(fixture.follower.adopt(newer));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"b", "2"}});
    row_batch older;
    older.era = newer.era;
    older.version = row_version(4);
    CHECK_FALSE(fixture.follower.adopt(older));
    CHECK(fixture.observer.rows.size() == 1);
}

TEST_CASE("a follower with following disabled does not poll, and misses no change once enabled") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.set_following(false);
    fixture.follower.start();
    fixture.advance(millis{10});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "1"}});
    fixture.store.put("t", "b", "2");
    fixture.store.remove("t", "a");
    fixture.advance(millis{30'000});
    CHECK(fixture.store.change_calls == 0);
    fixture.follower.set_following(true);
    fixture.advance(millis{10});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"b", "2"}});
    CHECK(fixture.observer.snapshots == 1);
}

TEST_CASE("changes from another follower are rejected if they would leave a gap") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.set_following(false);
    fixture.follower.start();
    fixture.advance(millis{10});
    const row_version version = fixture.follower.version();
    row_batch batch;
    batch.era = fixture.follower.position().era;
    batch.version = version + row_version(5);
    batch.rows.push_back({"b", "2", batch.version, false});
    CHECK_FALSE(fixture.follower.adopt_changes(batch, version + row_version(2)));
    CHECK(fixture.follower.adopt_changes(batch, version));
    CHECK_FALSE(fixture.follower.adopt_changes(batch, version));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "1"}, {"b", "2"}});
    CHECK(fixture.follower.version() == batch.version);
}

TEST_CASE("an unavailable store is reported only while following is enabled") {
    follower_fixture fixture;
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.set_failure(absl::UnavailableError("down"));
    fixture.advance(millis{1'000});
    CHECK(fixture.follower.is_store_unavailable());
    fixture.follower.set_following(false);
    CHECK_FALSE(fixture.follower.is_store_unavailable());
    const int calls = fixture.store.change_calls;
    fixture.advance(millis{10'000});
    CHECK(fixture.store.change_calls <= calls + 1);
    fixture.store.set_failure(absl::OkStatus());
    fixture.follower.set_following(true);
    fixture.advance(millis{2'000});
    CHECK_FALSE(fixture.follower.is_store_unavailable());
    CHECK(fixture.observer.recoveries == 1);
}

TEST_CASE("changes that a restored store makes under known versions are not missed") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.store.take_copy();
    fixture.follower.start();
    fixture.advance(millis{10});
    for (int i = 0; i < 3; ++i) {
        fixture.store.put("t", "b", std::to_string(i));
    }
    fixture.advance(millis{500});
    fixture.store.restore();
    fixture.store.put("t", "a", "2");
    // The version rises past the known one before the follower calls again.
    for (int i = 0; i < 5; ++i) {
        fixture.store.put("other", "x", std::to_string(i));
    }
    fixture.advance(millis{2'000});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "2"}});
}

TEST_CASE("a restored store with a lower version than known is not read over and over") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.store.take_copy();
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.put("t", "b", "1");
    fixture.store.put("t", "b", "2");
    fixture.advance(millis{500});
    fixture.store.restore();
    const int reads = fixture.store.reads;
    fixture.advance(millis{5'000});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "1"}});
    CHECK(fixture.store.reads - reads == 1);
}

TEST_CASE("a table of a later era is adopted under a lower version, one of an earlier era is not") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.store.put("t", "a", "2");
    fixture.follower.set_following(false);
    fixture.follower.start();
    fixture.advance(millis{10});
    row_batch restored;
    restored.era = fixture.follower.position().era.next();
    restored.version = row_version(1);
    restored.rows.push_back({"a", "3", row_version(1), false});
    CHECK(fixture.follower.adopt(restored));
    CHECK(fixture.observer.rows["a"] == "3");
    row_batch earlier;
    earlier.era = *fixture.store.era();
    earlier.version = row_version(9);
    CHECK_FALSE(fixture.follower.adopt(earlier));
    CHECK_FALSE(fixture.follower.adopt_changes(earlier, row_version(1)));
    CHECK(fixture.observer.rows["a"] == "3");
}

TEST_CASE("a follower does not stay with a peer's table of an era that the store never had") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.follower.start();
    fixture.advance(millis{10});
    row_batch invented;
    invented.era = store_era(1'000);
    invented.version = row_version(1'000);
    invented.rows.push_back({"a", "9", row_version(1'000), false});
    CHECK(fixture.follower.adopt(invented));
    fixture.store.put("t", "a", "2");
    fixture.advance(millis{1'000});
    CHECK(fixture.observer.rows["a"] == "2");
}

TEST_CASE("a store whose reads lag behind its dropped history is not read without a pause") {
    follower_fixture fixture;
    fixture.store.put("t", "a", "1");
    fixture.store.take_copy();
    fixture.follower.start();
    fixture.advance(millis{10});
    fixture.store.put("t", "a", "2");
    fixture.advance(millis{500});
    fixture.store.set_stale_reads(true);
    fixture.store.forget_history_at(row_version(1'000));
    const int reads = fixture.store.reads;
    fixture.advance(millis{5'000});
    CHECK(fixture.store.reads - reads <= 30);
    CHECK(fixture.observer.rows["a"] == "2");
}
