#include "support/fake_table.h"

#include "jujubetide/settings/settings_store.h"

#include <catch2/catch.hpp>

#include <functional>

// A change is committed between the reads of a load. The documents must be those of the revision
// that the load returns: change n writes version n of two services.

using namespace jujubetide;

namespace {

/// Calls a function before the n-th read.
class interrupted_table final : public table {
public:
    interrupted_table(fake_table& rows, int read, std::function<void()> function)
        : rows_(rows), reads_left_(read), function_(std::move(function)) {}

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override {
        before_read();
        return rows_.get(key);
    }
    absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) override {
        before_read();
        return rows_.scan(prefix, after, limit);
    }
    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override {
        return rows_.commit(transaction);
    }

private:
    void before_read() {
        if (reads_left_-- == 0) {
            function_();
        }
    }

    fake_table& rows_;
    int reads_left_;
    std::function<void()> function_;
};

/// Writes version `number` of two services against the revision before it.
absl::Status write_versions(fake_table& rows, std::uint64_t number) {
    const std::string text =
        "kind: model\nversion: v" + std::to_string(number) + "\nroutes: [{id: notes}]\n";
    settings_change change{change_id("c" + std::to_string(number)),
                           operator_id("ana"),
                           revision(number - 1),
                           {{"/teams/a/services/x", text}, {"/teams/a/services/y", text}},
                           {},
                           ""};
    return settings_store(rows).apply(change).status();
}

using load_function = std::function<snapshot_ptr(table&)>;

snapshot_ptr load_from_store(table& rows) {
    const auto loaded = settings_store(rows).load();
    return loaded.ok() ? *loaded : nullptr;
}

/// Reads the revision, then each document on its own.
snapshot_ptr load_naively(table& rows) {
    const auto newest = settings_store(rows).newest();
    settings_documents documents;
    for (const std::string path : {"/teams/a/services/x", "/teams/a/services/y"}) {
        documents[path] = (*rows.get("settings/doc" + path))->value;
    }
    findings found;
    return parse_settings(documents, *newest, found);
}

/// Whether every load returns one revision's documents, wherever a commit comes between.
bool never_mixes(const load_function& load) {
    for (int read = 0; read < 5; ++read) {
        fake_table rows;
        REQUIRE(write_versions(rows, 1).ok());
        interrupted_table interrupted(rows, read,
                                      [&rows] { REQUIRE(write_versions(rows, 2).ok()); });
        const snapshot_ptr loaded = load(interrupted);
        const std::string expected = "v" + std::to_string(loaded->at().value());
        for (const service_settings& service : loaded->services()) {
            if (service.version.str() != expected) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

TEST_CASE("a load never mixes two changes") {
    CHECK(never_mixes(load_from_store));
}

TEST_CASE("a naive load mixes two changes") {
    CHECK_FALSE(never_mixes(load_naively));
}
