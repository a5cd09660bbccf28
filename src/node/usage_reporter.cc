#include "node/usage_reporter.h"

#include "node/node_events.h"

#include "jujubetide/store/bounded_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using json = nlohmann::json;

constexpr micros step_period{400'000};
/// How many windows before the current one may still be reported.
constexpr std::int64_t max_windows_back = 3;
/// Number of windows after which a report's row is removed.
constexpr std::int64_t row_lifetime_windows = 12;
/// Time after a window's end during which calls that began in it are still counted.
constexpr millis late_call_time{700};
/// Maximum wait for a live node that has sent nothing since the window's end.
constexpr millis max_peer_wait{5'000};
/// A history row's key is this and the era; its value is the first window of the history.
constexpr const char* history_key_prefix = "history-";

std::string history_key(store_era era) {
    return absl::StrCat(history_key_prefix, era.value());
}

std::string encode_counts(const usage_counts& counts) {
    json body = json::object();
    for (const auto& [customer, count] : counts) {
        body[customer.str()] = count;
    }
    return body.dump();
}

absl::StatusOr<usage_counts> decode_counts(const std::string& text) {
    const absl::StatusOr<json> body = parse_bounded_json(text);
    if (!body.ok()) {
        return body.status();
    }
    try {
        usage_counts counts;
        for (const auto& [customer, count] : body->items()) {
            counts[customer_id(customer)] = count.get<std::uint64_t>();
        }
        return counts;
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

usage_reporter::usage_reporter(serving_state& state, row_store& store, peer_exchange& peers,
                               duty_lease& lease, platform_api& calls)
    : state_(state), store_(store), peers_(peers), lease_(lease), calls_(calls),
      history_start_(state.usage.window_at(state.time.wall_now())) {}

void usage_reporter::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

void usage_reporter::step() {
    if (!lease_.is_held()) {
        is_loaded_ = false;
        return;
    }
    if (is_busy_ || !state_.config) {
        return;
    }
    if (!is_loaded_ || era_ != store_.era()) {
        load();
        return;
    }
    if (!missing_rows_.empty() || !has_history_row_) {
        restore_rows();
        return;
    }
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    for (std::int64_t number = current.value() - max_windows_back; number < current.value();
         ++number) {
        const usage_window window(number);
        if (reported_windows_.contains(window)) {
            continue;
        }
        if (stored_counts_.contains(window)) {
            send(window);
            return;
        }
        if (state_.usage.settled().contains(window)) {
            if (is_lost(window)) {
                continue;
            }
            return;
        }
        if (window < history_start_) {
            continue; // It may have been reported.
        }
        if (is_complete(window)) {
            store_counts(window);
            return;
        }
    }
}

void usage_reporter::load() {
    is_busy_ = true;
    store_.read(table, "", [this](const absl::StatusOr<row_batch>& batch) {
        is_busy_ = false;
        if (!batch.ok()) {
            return; // The next step retries.
        }
        on_rows(*batch);
    });
}

void usage_reporter::on_rows(const row_batch& batch) {
    is_loaded_ = true;
    era_ = batch.era;
    has_history_row_ = false;
    history_row_version_ = row_version();
    old_history_rows_.clear();
    missing_rows_.clear();
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    for (const auto& [window, counts] : stored_counts_) {
        if (window.value() >= current.value() - max_windows_back) {
            missing_rows_.insert(window);
        }
    }
    for (const stored_row& row : batch.rows) {
        std::int64_t number = 0;
        if (row.key.starts_with(history_key_prefix)) {
            on_history_row(row);
        } else if (const auto counts = decode_counts(row.value);
                   counts.ok() && absl::SimpleAtoi(row.key, &number)) {
            on_counts_row(usage_window(number), *counts);
        }
    }
}

void usage_reporter::on_history_row(const stored_row& row) {
    if (row.key != history_key(*era_)) {
        old_history_rows_.push_back(row.key);
        return;
    }
    history_row_version_ = row.version;
    std::int64_t number = 0;
    if (absl::SimpleAtoi(row.value, &number)) {
        has_history_row_ = true;
        history_start_ = std::min(history_start_, usage_window(number));
    }
}

void usage_reporter::on_counts_row(usage_window window, const usage_counts& counts) {
    missing_rows_.erase(window);
    // Counts that this node stored itself stand: it may have sent them.
    stored_counts_.try_emplace(window, counts);
    state_.usage.settle(window);
}

void usage_reporter::restore_rows() {
    row_transaction transaction;
    for (const usage_window window : missing_rows_) {
        const std::string key = absl::StrCat(window.value());
        transaction.expected.push_back({table, key, row_version()});
        transaction.puts.push_back({table, key, encode_counts(stored_counts_.at(window))});
    }
    const usage_window start = first_window_with_rows();
    if (!has_history_row_) {
        const std::string key = history_key(*era_);
        transaction.expected.push_back({table, key, history_row_version_});
        transaction.puts.push_back({table, key, absl::StrCat(start.value())});
        for (const std::string& old : old_history_rows_) {
            transaction.removals.push_back({table, old});
        }
    }
    is_busy_ = true;
    store_.commit(transaction, [this, start](const absl::StatusOr<row_version>& done) {
        is_busy_ = false;
        if (!done.ok()) {
            is_loaded_ = false; // The rows may be there.
            return;
        }
        if (!missing_rows_.empty()) {
            state_.log.write(usage_rows_restored, {{"rows", absl::StrCat(missing_rows_.size())}});
        }
        if (!has_history_row_) {
            state_.log.write(usage_history_started, {{"window", absl::StrCat(start.value())},
                                                     {"era", absl::StrCat(era_->value())}});
        }
        has_history_row_ = true;
        missing_rows_.clear();
    });
}

usage_window usage_reporter::first_window_with_rows() const {
    usage_window first = history_start_;
    for (const usage_window window : state_.usage.settled()) {
        if (!stored_counts_.contains(window)) {
            first = std::max(first, usage_window(window.value() + 1));
        }
    }
    return first;
}

bool usage_reporter::is_lost(usage_window window) {
    if (rechecked_windows_.insert(window).second) {
        is_loaded_ = false; // Stored since the rows were loaded, or lost by a restore.
        return false;
    }
    state_.log.write(usage_not_reported, {{"window", absl::StrCat(window.value())},
                                          {"why", "the stored counts were lost"}});
    reported_windows_.insert(window);
    return true;
}

bool usage_reporter::is_complete(usage_window window) const {
    const millis since_end =
        std::chrono::duration_cast<millis>(state_.time.wall_now() - state_.usage.end_of(window));
    if (since_end < late_call_time) {
        return false;
    }
    return since_end >= max_peer_wait ||
           peers_.has_heard_all_since(state_.time.now() - (since_end - late_call_time));
}

void usage_reporter::store_counts(usage_window window) {
    usage_counts counts = state_.usage.total(window);
    for (const serving_customer& customer : state_.config->customers()) {
        counts.try_emplace(customer.id, 0);
    }
    const std::string key = absl::StrCat(window.value());
    row_transaction transaction;
    transaction.expected.push_back({table, key, row_version()});
    transaction.puts.push_back({table, key, encode_counts(counts)});
    transaction.removals.push_back({table, absl::StrCat(window.value() - row_lifetime_windows)});
    is_busy_ = true;
    store_.commit(transaction, [this, window, counts](const absl::StatusOr<row_version>& done) {
        is_busy_ = false;
        if (done.ok()) {
            stored_counts_[window] = counts;
            state_.usage.settle(window);
            // A restore may remove the row, and this node end, before the next heartbeat.
            peers_.send_heartbeat();
            send(window);
        } else {
            // The row may exist: written by another lease holder, or by a write whose response was
            // lost.
            is_loaded_ = false;
        }
    });
}

void usage_reporter::send(usage_window window) {
    const auto fencing = lease_.permit();
    if (!fencing.ok()) {
        return;
    }
    is_busy_ = true;
    calls_.report_usage(
        {state_.settings.node, *fencing}, window, stored_counts_.at(window),
        [this, window](const absl::Status& done) {
            is_busy_ = false;
            if (!done.ok()) {
                state_.log.write(usage_not_reported, {{"window", absl::StrCat(window.value())},
                                                      {"why", std::string(done.message())}});
                return;
            }
            state_.log.write(usage_reported, {{"window", absl::StrCat(window.value())},
                                              {"counts", encode_counts(stored_counts_[window])}});
            reported_windows_.insert(window);
            const usage_window oldest(window.value() - row_lifetime_windows);
            std::erase_if(reported_windows_,
                          [oldest](usage_window reported) { return reported < oldest; });
            std::erase_if(rechecked_windows_,
                          [oldest](usage_window checked) { return checked < oldest; });
            std::erase_if(stored_counts_,
                          [oldest](const auto& item) { return item.first < oldest; });
        });
}

} // namespace jujubetide
