#include "node/usage_reporter.h"

#include "node/node_events.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace jujubetide {
namespace {

using json = nlohmann::json;

constexpr micros step_period{400'000};
/// Windows back from the current one that may still be reported.
constexpr std::int64_t reported_back = 3;
/// Windows after which a report's row is removed.
constexpr std::int64_t row_lifetime = 12;
/// Time after a window's end in which calls that began within it are still noted.
constexpr millis settle_time{700};
/// A node that lives but was not heard since the window's end is waited for no longer than this.
constexpr millis longest_wait{5'000};

std::string to_text(const usage_counts& counts) {
    json body = json::object();
    for (const auto& [customer, count] : counts) {
        body[customer.str()] = count;
    }
    return body.dump();
}

absl::StatusOr<usage_counts> parse_counts(const std::string& text) {
    try {
        usage_counts counts;
        const json body = json::parse(text);
        for (const auto& [customer, count] : body.items()) {
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
      first_(state.usage.window_at(state.time.wall_now())) {}

void usage_reporter::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

void usage_reporter::step() {
    if (!lease_.held()) {
        loaded_ = false;
        return;
    }
    if (busy_ || !state_.config) {
        return;
    }
    if (!loaded_) {
        load();
        return;
    }
    const usage_window current = state_.usage.window_at(state_.time.wall_now());
    for (std::int64_t number = std::max(first_.value(), current.value() - reported_back);
         number < current.value(); ++number) {
        const usage_window window(number);
        if (reported_.contains(window)) {
            continue;
        }
        if (fixed_.contains(window)) {
            send(window);
            return;
        }
        if (is_complete(window)) {
            fix(window);
            return;
        }
    }
}

void usage_reporter::load() {
    busy_ = true;
    store_.read(table, "", [this](const absl::StatusOr<row_batch>& batch) {
        busy_ = false;
        if (!batch.ok()) {
            return; // The next step tries again.
        }
        loaded_ = true;
        for (const stored_row& row : batch->rows) {
            std::int64_t number = 0;
            const auto counts = parse_counts(row.value);
            if (absl::SimpleAtoi(row.key, &number) && counts.ok()) {
                fixed_[usage_window(number)] = *counts;
                first_ = std::min(first_, usage_window(number));
            }
        }
    });
}

bool usage_reporter::is_complete(usage_window window) const {
    const millis since_end =
        std::chrono::duration_cast<millis>(state_.time.wall_now() - state_.usage.end_of(window));
    if (since_end < settle_time) {
        return false;
    }
    return since_end >= longest_wait ||
           peers_.all_heard_since(state_.time.now() - (since_end - settle_time));
}

void usage_reporter::fix(usage_window window) {
    usage_counts counts = state_.usage.total(window);
    for (const serving_customer& customer : state_.config->customers()) {
        counts.try_emplace(customer.id, 0);
    }
    const std::string key = absl::StrCat(window.value());
    row_transaction transaction;
    transaction.expected.push_back({table, key, row_version()});
    transaction.puts.push_back({table, key, to_text(counts)});
    transaction.removals.push_back({table, absl::StrCat(window.value() - row_lifetime)});
    busy_ = true;
    store_.commit(transaction, [this, window, counts](const absl::StatusOr<row_version>& done) {
        busy_ = false;
        if (done.ok()) {
            fixed_[window] = counts;
            send(window);
        } else {
            // The row may exist, by another holder or by a write whose answer was lost.
            loaded_ = false;
        }
    });
}

void usage_reporter::send(usage_window window) {
    const auto fencing = lease_.permit();
    if (!fencing.ok()) {
        return;
    }
    busy_ = true;
    calls_.report_usage(
        {state_.settings.node, *fencing}, window, fixed_.at(window),
        [this, window](const absl::Status& done) {
            busy_ = false;
            if (!done.ok()) {
                state_.log.write(usage_not_reported, {{"window", absl::StrCat(window.value())},
                                                      {"why", std::string(done.message())}});
                return;
            }
            state_.log.write(usage_reported, {{"window", absl::StrCat(window.value())},
                                              {"counts", to_text(fixed_[window])}});
            reported_.insert(window);
            const usage_window oldest(window.value() - row_lifetime);
            std::erase_if(reported_, [oldest](usage_window one) { return one < oldest; });
            std::erase_if(fixed_, [oldest](const auto& item) { return item.first < oldest; });
        });
}

} // namespace jujubetide
