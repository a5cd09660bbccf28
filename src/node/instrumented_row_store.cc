#include "node/instrumented_row_store.h"

#include "node/node_events.h"

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

} // namespace

template <class Result>
std::function<void(Result)>
instrumented_row_store::instrumented(const char* kind, const std::string& table,
                                     std::function<void(Result)> handler) {
    return [this, kind, table, handler = std::move(handler)](Result result) {
        metrics_.on_store_call(kind, table, outcome_label(result.status()));
        log_restore();
        handler(std::move(result));
    };
}

void instrumented_row_store::log_restore() {
    const std::optional<store_era> before = std::exchange(known_era_, store_.era());
    if (before && before != known_era_) {
        log_.write(store_restored, {{"era", std::to_string(known_era_->value())},
                                    {"before", std::to_string(before->value())}});
    }
}

void instrumented_row_store::do_read(const std::string& table, const std::string& from,
                                     batch_handler handler) {
    store_.read(table, from, instrumented("read", table, std::move(handler)));
}

void instrumented_row_store::do_changes(const std::string& table, row_version after, millis wait,
                                        batch_handler handler) {
    store_.changes(table, after, wait, instrumented("changes", table, std::move(handler)));
}

void instrumented_row_store::do_commit(const row_transaction& transaction, commit_handler handler) {
    const std::string table = transaction.puts.empty() ? "" : transaction.puts.front().table;
    store_.commit(transaction, instrumented("commit", table, std::move(handler)));
}

} // namespace jujubetide
