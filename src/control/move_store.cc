// The row of a service holds its newest move; the condition on the row's version lets one step
// follow another and makes the end of a move final: no step is written over `done` or
// `taken_back`, only a new move.
#include "control/move_store.h"

#include "control/move_codec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace jujubetide {
namespace {

constexpr int most_tries = 8;
constexpr std::size_t rows_per_scan = 500;
constexpr const char* moves_prefix = "moves/";

std::string move_key(const service_id& service) {
    return moves_prefix + service.str();
}

std::string audit_prefix_of(const service_id& service) {
    return absl::StrCat("move_audit/", service.str(), "/");
}

std::string audit_key_of(const version_move& move) {
    return absl::StrFormat("%s%020d/%s/%010d", audit_prefix_of(move.service),
                           move.start.time_since_epoch().count(), move.id.str(), move.step.value());
}

absl::StatusOr<stored_move> stored_from(const table_row& row) {
    absl::StatusOr<version_move> move = decode_move(row.value);
    if (!move.ok()) {
        return move.status();
    }
    return stored_move{std::move(*move), row.version};
}

/// Rows with the prefix after the first `skip`, at most `limit`.
absl::StatusOr<std::vector<table_row>> scan_rows(table& platform_table, const std::string& prefix,
                                                 std::size_t skip, std::size_t limit) {
    std::vector<table_row> found;
    std::string after;
    while (found.size() < limit) {
        const auto rows = platform_table.scan(prefix, after, rows_per_scan);
        if (!rows.ok()) {
            return rows.status();
        }
        for (const table_row& row : *rows) {
            if (skip > 0) {
                --skip;
            } else if (found.size() < limit) {
                found.push_back(row);
            }
        }
        if (rows->size() < rows_per_scan) {
            break;
        }
        after = rows->back().key;
    }
    return found;
}

version_move taken_back(const version_move& move, const std::string& evidence, wall_time at) {
    version_move ended = move;
    ended.state = move_state::taken_back;
    ended.share = 0.0;
    ended.step = move.step.next();
    ended.evidence = evidence;
    ended.ended = at;
    return ended;
}

} // namespace

bool is_ended(const version_move& move) {
    return move.state == move_state::done || move.state == move_state::taken_back;
}

absl::StatusOr<std::optional<stored_move>> move_store::find(const service_id& service) {
    const auto row = table_.get(move_key(service));
    if (!row.ok()) {
        return row.status();
    }
    if (!*row) {
        return std::optional<stored_move>();
    }
    absl::StatusOr<stored_move> stored = stored_from(**row);
    if (!stored.ok()) {
        return stored.status();
    }
    return std::optional<stored_move>(std::move(*stored));
}

absl::StatusOr<std::vector<stored_move>> move_store::list() {
    const auto rows = scan_rows(table_, moves_prefix, 0, SIZE_MAX);
    if (!rows.ok()) {
        return rows.status();
    }
    std::vector<stored_move> moves;
    for (const table_row& row : *rows) {
        absl::StatusOr<stored_move> stored = stored_from(row);
        if (!stored.ok()) {
            return stored.status();
        }
        moves.push_back(std::move(*stored));
    }
    return moves;
}

absl::Status move_store::write(row_version before, const version_move& after,
                               const move_actor& actor) {
    const table_transaction transaction{
        {{move_key(after.service), before}},
        {{move_key(after.service), encode_move(after)},
         {audit_key_of(after), encode_move_audit(move_audit_record{actor, after})}}};
    const absl::StatusOr<row_version> committed = table_.commit(transaction);
    if (!absl::IsDeadlineExceeded(committed.status())) {
        return committed.status();
    }
    const auto now = find(after.service);
    if (!now.ok()) {
        return committed.status();
    }
    if (*now && encode_move((*now)->move) == encode_move(after)) {
        return absl::OkStatus();
    }
    // A commit that has not arrived yet fails on its condition once another step is written; until
    // then the reply stays unknown.
    const bool overtaken = *now && (*now)->version > before;
    return overtaken ? absl::AbortedError("another step of the move came first")
                     : committed.status();
}

absl::Status move_store::start(const version_move& move, const move_actor& actor) {
    absl::Status last = absl::UnavailableError("the table's reads lag behind its commits");
    for (int i = 0; i < most_tries; ++i) {
        const auto known = find(move.service);
        if (!known.ok()) {
            return known.status();
        }
        if (*known && (*known)->move.id == move.id) {
            return absl::OkStatus();
        }
        if (*known && !is_ended((*known)->move)) {
            return absl::FailedPreconditionError(
                absl::StrCat("move '", (*known)->move.id.str(), "' of service '",
                             move.service.str(), "' to version '", (*known)->move.to.str(),
                             "' goes on; take it back or wait for its end"));
        }
        last = write(*known ? (*known)->version : row_version{}, move, actor);
        if (!absl::IsAborted(last) && !absl::IsDeadlineExceeded(last)) {
            return last;
        }
    }
    return last;
}

absl::StatusOr<version_move> move_store::take_back(const service_id& service, const move_id& move,
                                                   const std::string& evidence,
                                                   const move_actor& actor) {
    absl::Status last = absl::UnavailableError("the table's reads lag behind its commits");
    for (int i = 0; i < most_tries; ++i) {
        const auto known = find(service);
        if (!known.ok()) {
            return known.status();
        }
        if (!*known || (*known)->move.id != move) {
            return absl::NotFoundError(absl::StrCat("'", move.str(), "' is not the newest move of ",
                                                    "service '", service.str(), "'"));
        }
        if ((*known)->move.state == move_state::taken_back) {
            return (*known)->move;
        }
        if ((*known)->move.state == move_state::done) {
            return absl::FailedPreconditionError(
                absl::StrCat("move '", move.str(), "' is done; start a move back instead"));
        }
        const version_move ended = taken_back((*known)->move, evidence, actor.at);
        last = write((*known)->version, ended, actor);
        if (last.ok()) {
            return ended;
        }
        if (!absl::IsAborted(last) && !absl::IsDeadlineExceeded(last)) {
            return last;
        }
    }
    return last;
}

absl::StatusOr<std::vector<move_audit_record>>
move_store::audit(const service_id& service, std::size_t skip, std::size_t limit) {
    const auto rows = scan_rows(table_, audit_prefix_of(service), skip, limit);
    if (!rows.ok()) {
        return rows.status();
    }
    std::vector<move_audit_record> records;
    for (const table_row& row : *rows) {
        absl::StatusOr<move_audit_record> record = decode_move_audit(row.value);
        if (!record.ok()) {
            return record.status();
        }
        records.push_back(std::move(*record));
    }
    return records;
}

} // namespace jujubetide
