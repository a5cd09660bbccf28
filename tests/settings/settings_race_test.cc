#include "support/fake_table.h"

#include "jujubetide/settings/settings_history.h"
#include "jujubetide/settings/settings_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <map>

// Operators race on one path while the table loses replies and commits, goes down and serves old
// reads. The same runs go through the store and through a naive one that reads, edits and writes
// back without conditions; only the store may pass.

using namespace jujubetide;

namespace {

constexpr std::uint64_t race_seed = 20261203;
constexpr int race_runs = 200;
constexpr int operators = 3;
const std::string path = "/teams/frio/services/diagnosis";

enum class table_fault { none, lost_reply, lost_commit, outage, stale_reads };

struct race_step {
    int author;
    table_fault fault;
    /// Whether the operator reads the newest settings before the change.
    bool refresh;
    /// How many of the reads see the rows as they were before the last commit.
    int old_reads;
};

using submit_function = std::function<absl::Status(fake_table&, const settings_change&)>;
using read_function = std::function<std::string(fake_table&)>;

std::string text_of(const change_id& id) {
    return "kind: model\nversion: " + id.str() + "\nroutes: [{id: notes}]\n";
}

std::string version_of(const std::string& text) {
    const std::size_t begin = text.find("version: ") + 9;
    return text.substr(begin, text.find('\n', begin) - begin);
}

absl::Status submit_to_store(fake_table& rows, const settings_change& change) {
    return settings_store(rows).apply(change).status();
}

/// Reads, edits and writes back: the row of the document, then the audit record.
absl::Status submit_naively(fake_table& rows, const settings_change& change) {
    const auto head = rows.get("settings/head");
    if (!head.ok()) {
        return head.status();
    }
    const std::uint64_t at = *head ? std::stoull((*head)->value) : 0;
    if (at != change.expected.value()) {
        return absl::AbortedError("conflict");
    }
    const std::string next = std::to_string(at + 1);
    const auto written = rows.commit({{},
                                      {{"settings/doc" + path, change.edits.at(path)},
                                       {"settings/head", next},
                                       {"naive/" + next, change.id.str()}}});
    return written.status();
}

std::uint64_t newest_revision(fake_table& rows) {
    const auto newest = settings_store(rows).newest();
    if (newest.ok()) {
        return newest->value();
    }
    const auto head = rows.get("settings/head");
    return head.ok() && *head ? std::stoull((*head)->value) : 0;
}

std::vector<std::string> audited_by_store(fake_table& rows) {
    std::vector<std::string> ids;
    const auto page = settings_history(rows).read({revision{}, "", 10'000});
    for (auto record = page->records.rbegin(); record != page->records.rend(); ++record) {
        ids.push_back(record->change.str());
    }
    return ids;
}

std::vector<std::string> audited_naively(fake_table& rows) {
    std::vector<std::string> ids;
    const std::uint64_t newest = newest_revision(rows);
    for (std::uint64_t i = 1; i <= newest; ++i) {
        const auto row = rows.get("naive/" + std::to_string(i));
        ids.push_back(*row ? (*row)->value : "");
    }
    return ids;
}

void set_fault(fake_table& rows, table_fault fault) {
    rows.set_down(fault == table_fault::outage);
    if (fault == table_fault::lost_reply) {
        rows.lose_next_commit_reply();
    }
    if (fault == table_fault::lost_commit) {
        rows.lose_next_commit();
    }
    // Reads that have fallen behind stay where they are until the lag ends.
    if (fault == table_fault::stale_reads) {
        rows.set_stale(true);
    }
}

/// One race; returns what went wrong, or an empty text.
std::string race(const std::vector<race_step>& steps, const submit_function& submit,
                 const std::function<std::vector<std::string>(fake_table&)>& audited) {
    fake_table rows;
    std::map<int, std::uint64_t> seen;
    std::map<std::string, int> accepted;
    std::vector<settings_change> unknown;
    const auto submit_and_note = [&](const settings_change& change) {
        absl::Status status = submit(rows, change);
        if (status.ok()) {
            accepted[change.id.str()] = 1;
        }
        return status;
    };
    int number = 0;
    for (const race_step& step : steps) {
        if (step.refresh) {
            seen[step.author] = newest_revision(rows);
        }
        const change_id id("c" + std::to_string(++number));
        settings_change change{id,
                               operator_id("o" + std::to_string(step.author)),
                               revision(seen[step.author]),
                               {{path, text_of(id)}},
                               {},
                               ""};
        set_fault(rows, step.fault);
        rows.serve_old_reads(step.old_reads);
        if (absl::IsDeadlineExceeded(submit_and_note(change))) {
            unknown.push_back(change);
        }
        rows.set_down(false);
        rows.serve_old_reads(0);
        if (step.fault != table_fault::stale_reads) {
            rows.set_stale(false);
        }
    }
    rows.set_stale(false);
    for (const settings_change& change : unknown) {
        rows.serve_old_reads(1);
        static_cast<void>(submit_and_note(change));
    }
    const std::vector<std::string> trail = audited(rows);
    for (const auto& [id, count] : accepted) {
        if (std::count(trail.begin(), trail.end(), id) != count) {
            return id + " was accepted but is not in the audit trail exactly once";
        }
    }
    if (trail.size() != accepted.size()) {
        return "the audit trail holds a change that no operator was told of";
    }
    const auto row = rows.get("settings/doc" + path);
    if (!trail.empty() && version_of((*row)->value) != trail.back()) {
        return "the settings in force are not those of the last accepted change";
    }
    return "";
}

rc::Gen<std::vector<race_step>> race_steps() {
    return rc::gen::container<std::vector<race_step>>(rc::gen::build<race_step>(
        rc::gen::set(&race_step::author, rc::gen::inRange(0, operators)),
        rc::gen::set(&race_step::fault,
                     rc::gen::weightedElement<table_fault>({{4, table_fault::none},
                                                            {2, table_fault::lost_reply},
                                                            {2, table_fault::lost_commit},
                                                            {1, table_fault::outage},
                                                            {2, table_fault::stale_reads}})),
        rc::gen::set(&race_step::refresh, rc::gen::arbitrary<bool>()),
        rc::gen::set(&race_step::old_reads, rc::gen::inRange(0, 9))));
}

bool holds(const submit_function& submit,
           const std::function<std::vector<std::string>(fake_table&)>& audited) {
    rc::detail::TestParams params;
    params.seed = race_seed;
    params.maxSuccess = race_runs;
    const auto result = rc::detail::checkTestable(
        [&] { RC_ASSERT(race(*race_steps(), submit, audited) == std::string()); },
        rc::detail::TestMetadata{}, params);
    if (!result.template is<rc::detail::SuccessResult>()) {
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        UNSCOPED_INFO("seed " << race_seed << ": " << text.str());
        return false;
    }
    return true;
}

} // namespace

TEST_CASE("operators' races under lost replies, outages and old reads lose no accepted change") {
    CHECK(holds(submit_to_store, audited_by_store));
}

TEST_CASE("a naive read and write-back loses accepted changes in the same races") {
    CHECK_FALSE(holds(submit_naively, audited_naively));
}
