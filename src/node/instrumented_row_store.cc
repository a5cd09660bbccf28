#include "node/instrumented_row_store.h"

#include <utility>

namespace jujubetide {
namespace {

const char* outcome_label(const absl::Status& outcome) {
    switch (outcome.code()) {
    case absl::StatusCode::kOk:
        return "ok";
    case absl::StatusCode::kUnavailable:
        return "not_taken";
    case absl::StatusCode::kDeadlineExceeded:
        return "no_answer";
    case absl::StatusCode::kOutOfRange:
        return "history_gone";
    case absl::StatusCode::kAborted:
        return "condition_failed";
    default:
        return "other";
    }
}

template <class Result>
std::function<void(Result)> with_outcome_count(serving_metrics& metrics, const char* kind,
                                               const std::string& table,
                                               std::function<void(Result)> handler) {
    return [&metrics, kind, table, handler = std::move(handler)](Result result) {
        metrics.on_store_call(kind, table, outcome_label(result.status()));
        handler(std::move(result));
    };
}

} // namespace

void instrumented_row_store::do_read(const std::string& table, const std::string& from,
                                     batch_handler handler) {
    store_.read(table, from, with_outcome_count(metrics_, "read", table, std::move(handler)));
}

void instrumented_row_store::do_changes(const std::string& table, row_version after, millis wait,
                                        batch_handler handler) {
    store_.changes(table, after, wait,
                   with_outcome_count(metrics_, "changes", table, std::move(handler)));
}

void instrumented_row_store::do_commit(const row_transaction& transaction, commit_handler handler) {
    const std::string table = transaction.puts.empty() ? "" : transaction.puts.front().table;
    store_.commit(transaction, with_outcome_count(metrics_, "commit", table, std::move(handler)));
}

} // namespace jujubetide
