#include "node/row_mirror.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

class keeping_observer final : public table_observer {
protected:
    void do_snapshot(const std::vector<stored_row>& all, store_position) override {
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

public:
    std::map<std::string, std::string> rows;
};

stored_row row(const std::string& key, std::uint64_t version, bool removed = false) {
    return {key, "value", row_version(version), removed};
}

stored_row row_with(const std::string& key, std::uint64_t version, const std::string& value) {
    return {key, value, row_version(version), false};
}

store_position at(std::uint64_t version, std::uint64_t era = 1) {
    return {store_era(era), row_version(version)};
}

struct mirror_fixture {
    keeping_observer observer;
    row_mirror mirror{observer};
};

} // namespace

TEST_CASE("a mirror returns the changes after a version, including removals") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3), row("b", 5)}, at(10));
    CHECK(fixture.mirror.last_change() == at(5));
    fixture.mirror.on_changes({row("c", 12), row("a", 13, true)});
    CHECK(fixture.mirror.last_change() == at(13));
    const auto after_table = fixture.mirror.changes_after(at(10));
    REQUIRE(after_table);
    REQUIRE(after_table->size() == 2);
    CHECK((*after_table)[0].key == "c");
    CHECK((*after_table)[1].key == "a");
    CHECK((*after_table)[1].removed);
    CHECK(fixture.mirror.changes_after(at(12))->size() == 1);
    CHECK(fixture.mirror.changes_after(at(13))->empty());
}

TEST_CASE("a mirror returns no changes from before its first complete table") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3)}, at(10));
    CHECK_FALSE(fixture.mirror.changes_after(at(9)));
    fixture.mirror.on_changes({row("b", 11)});
    // The store discarded the history, so the table was read again.
    fixture.mirror.on_snapshot({row("b", 11)}, at(20));
    // A row was removed in between.
    CHECK(fixture.mirror.last_change() == at(20));
    CHECK_FALSE(fixture.mirror.changes_after(at(15)));
    fixture.mirror.on_snapshot({row("b", 11)}, at(30));
    CHECK(fixture.mirror.last_change() == at(20));
}

TEST_CASE("a mirror returns no changes from before the removals that it discarded") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({}, at(1));
    std::uint64_t version = 1;
    for (int i = 0; i < 10'000; ++i) {
        fixture.mirror.on_changes({row("k" + std::to_string(i), ++version, true)});
    }
    CHECK_FALSE(fixture.mirror.changes_after(at(2)));
    const auto recent = fixture.mirror.changes_after(at(version - 3));
    REQUIRE(recent);
    CHECK(recent->size() == 3);
}

TEST_CASE("a row that was removed and written again is returned as written") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3)}, at(10));
    fixture.mirror.on_changes({row("a", 11, true)});
    fixture.mirror.on_changes({row("a", 12)});
    const auto changes = fixture.mirror.changes_after(at(10));
    REQUIRE(changes->size() == 1);
    CHECK_FALSE(changes->front().removed);
}

TEST_CASE("a row that was replaced before a restore does not come back with the copy") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row_with("a", 3, "old"), row_with("b", 4, "old")}, at(10));
    fixture.mirror.on_changes({row_with("a", 11, "new")});
    fixture.mirror.on_changes({row("b", 12, true)});
    fixture.mirror.on_snapshot({row_with("a", 3, "old"), row_with("b", 4, "old")}, at(10, 2));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "new"}});
    CHECK(fixture.mirror.rows().size() == 1);
    // A second restore, from a copy that is older still.
    fixture.mirror.on_snapshot({row_with("a", 3, "old")}, at(5, 3));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "new"}});
}

TEST_CASE("a row that was written again unchanged and then replaced does not come back either") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row_with("a", 3, "old")}, at(10));
    fixture.mirror.on_changes({row_with("a", 11, "old")});
    fixture.mirror.on_changes({row_with("a", 12, "new")});
    fixture.mirror.on_snapshot({row_with("a", 3, "old")}, at(10, 2));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "new"}});
}

TEST_CASE("what is written after a restore is taken, also where it repeats a replaced row") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row_with("a", 3, "old")}, at(10));
    fixture.mirror.on_changes({row_with("a", 11, "new")});
    // Written again under another version, in the snapshot or later.
    fixture.mirror.on_snapshot({row_with("a", 9, "old")}, at(9, 2));
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "old"}});
    fixture.mirror.on_changes({row_with("a", 10, "new")});
    CHECK(fixture.observer.rows == std::map<std::string, std::string>{{"a", "new"}});
}

TEST_CASE("a mirror returns no changes after a version of another era") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3)}, at(10));
    fixture.mirror.on_snapshot({row("a", 3)}, at(8, 2));
    CHECK(fixture.mirror.last_change() == at(3, 2));
    CHECK_FALSE(fixture.mirror.changes_after(at(10)));
    CHECK_FALSE(fixture.mirror.changes_after(at(10, 3)));
    CHECK(fixture.mirror.changes_after(at(8, 2)));
}
