#include "node/instrumented_row_store.h"

#include <utility>

namespace jujubetide {
namespace {

const char* name_of(const absl::Status& outcome) {
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

template <class Answer>
std::function<void(Answer)> counted(serving_metrics& metrics, const char* kind,
                                    const std::string& table, std::function<void(Answer)> handler) {
    return [&metrics, kind, table, handler = std::move(handler)](Answer answer) {
        metrics.on_store_call(kind, table, name_of(answer.status()));
        handler(std::move(answer));
    };
}

} // namespace

void instrumented_row_store::do_read(const std::string& table, const std::string& from,
                                     batch_handler handler) {
    to_.read(table, from, counted(metrics_, "read", table, std::move(handler)));
}

void instrumented_row_store::do_changes(const std::string& table, row_version after, millis wait,
                                        batch_handler handler) {
    to_.changes(table, after, wait, counted(metrics_, "changes", table, std::move(handler)));
}

void instrumented_row_store::do_commit(const row_transaction& transaction, commit_handler handler) {
    const std::string table = transaction.puts.empty() ? "" : transaction.puts.front().table;
    to_.commit(transaction, counted(metrics_, "commit", table, std::move(handler)));
}

} // namespace jujubetide
