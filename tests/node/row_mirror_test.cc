#include "node/row_mirror.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

class ignoring_observer final : public table_observer {
protected:
    void do_snapshot(const std::vector<stored_row>&, row_version) override {}
    void do_changes(const std::vector<stored_row>&) override {}
};

stored_row row(const std::string& key, std::uint64_t version, bool removed = false) {
    return {key, "value", row_version(version), removed};
}

struct mirror_fixture {
    ignoring_observer observer;
    row_mirror mirror{observer};
};

} // namespace

TEST_CASE("a mirror returns the changes after a version, including removals") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3), row("b", 5)}, row_version(10));
    CHECK(fixture.mirror.last_changed_version() == row_version(5));
    fixture.mirror.on_changes({row("c", 12), row("a", 13, true)});
    CHECK(fixture.mirror.last_changed_version() == row_version(13));
    const auto after_table = fixture.mirror.changes_after(row_version(10));
    REQUIRE(after_table);
    REQUIRE(after_table->size() == 2);
    CHECK((*after_table)[0].key == "c");
    CHECK((*after_table)[1].key == "a");
    CHECK((*after_table)[1].removed);
    CHECK(fixture.mirror.changes_after(row_version(12))->size() == 1);
    CHECK(fixture.mirror.changes_after(row_version(13))->empty());
}

TEST_CASE("a mirror returns no changes from before its first complete table") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3)}, row_version(10));
    CHECK_FALSE(fixture.mirror.changes_after(row_version(9)));
    fixture.mirror.on_changes({row("b", 11)});
    // The store discarded the history, so the table was read again.
    fixture.mirror.on_snapshot({row("b", 11)}, row_version(20));
    // A row was removed in between.
    CHECK(fixture.mirror.last_changed_version() == row_version(20));
    CHECK_FALSE(fixture.mirror.changes_after(row_version(15)));
    fixture.mirror.on_snapshot({row("b", 11)}, row_version(30));
    CHECK(fixture.mirror.last_changed_version() == row_version(20));
}

TEST_CASE("a mirror returns no changes from before the removals that it discarded") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({}, row_version(1));
    std::uint64_t version = 1;
    for (int i = 0; i < 10'000; ++i) {
        fixture.mirror.on_changes({row("k" + std::to_string(i), ++version, true)});
    }
    CHECK_FALSE(fixture.mirror.changes_after(row_version(2)));
    const auto recent = fixture.mirror.changes_after(row_version(version - 3));
    REQUIRE(recent);
    CHECK(recent->size() == 3);
}

TEST_CASE("a row that was removed and written again is returned as written") {
    mirror_fixture fixture;
    fixture.mirror.on_snapshot({row("a", 3)}, row_version(10));
    fixture.mirror.on_changes({row("a", 11, true)});
    fixture.mirror.on_changes({row("a", 12)});
    const auto changes = fixture.mirror.changes_after(row_version(10));
    REQUIRE(changes->size() == 1);
    CHECK_FALSE(changes->front().removed);
}
