#include "node/duty_lease.h"

#include "node/node_events.h"

#include "jujubetide/store/bounded_json.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

using json = nlohmann::json;

/// The keys of the rows with the highest fencing numbers begin so; the era follows.
constexpr std::string_view number_key_prefix = "number-";
/// Fencing numbers of a later era are greater than all of the eras before: a restore may remove
/// the rows that tell which were given out.
constexpr unsigned era_shift = 32;

/// How often the lease is checked, and how often it is renewed.
constexpr micros step_period{300'000};
constexpr micros renewal_period{1'200'000};
/// Subtracted from the duration of the node's own lease, as clocks run at different speeds.
constexpr millis clock_margin{300};
/// Limit on one call to the platform, with some time for the platform to carry it out.
constexpr millis max_call_duration{1'200};

lease_options lease_options_for(const serving_state& state, incarnation start) {
    lease_options options;
    options.lease = lease_id(duty_lease::key);
    options.holder = absl::StrCat(state.settings.node.str(), "/", start.value());
    // One failed renewal must not lose the lease.
    options.duration = state.settings.lease_duration + max_call_duration;
    options.margin = clock_margin;
    options.longest_order = max_call_duration;
    return options;
}

std::string number_key(store_era era) {
    return absl::StrCat(std::string(number_key_prefix), era.value());
}

fencing_number first_number(store_era era) {
    return fencing_number((era.value() << era_shift) + 1);
}

/// The number in a row; 0 if the row makes no sense, as the lease's row has the number too.
fencing_number parse_number(const std::string& text) {
    const auto body = parse_bounded_json(text);
    return body.ok() && body->is_number_unsigned() ? fencing_number(body->get<std::uint64_t>())
                                                   : fencing_number();
}

} // namespace

duty_lease::duty_lease(serving_state& state, row_store& store, peer_exchange& peers)
    : state_(state), store_(store), peers_(peers),
      lease_(lease_options_for(state, peers.own_incarnation())) {}

void duty_lease::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

bool duty_lease::is_candidate() const {
    return !state_.stopping && peers_.has_usage_history() && !peers_.has_peer_holding_duties() &&
           peers_.is_duty_candidate();
}

void duty_lease::update_era() {
    const std::optional<store_era> before = std::exchange(era_, store_.era());
    if (before == era_) {
        return;
    }
    numbers_ = {number_key(*era_), {}, {}};
    if (before) {
        is_era_checked_ = true;
        lease_.table_restored(state_.time.now());
    }
}

fencing_number duty_lease::lowest_number() const {
    return std::max(numbers_.highest.next(), first_number(era_.value_or(store_era())));
}

void duty_lease::step() {
    update_era();
    publish_state();
    if (call_pending_ || !is_call_due()) {
        return;
    }
    const std::optional<lease_write> update =
        lease_.needs_read() ? std::nullopt : lease_.next_write(state_.time.now(), lowest_number());
    if (update) {
        write(*update);
    } else {
        read(); // The row is not known, or another node may still hold and renew its lease.
    }
}

bool duty_lease::is_call_due() const {
    const time_point now = state_.time.now();
    if (released_) {
        return !lease_.is_released(now);
    }
    if (is_held() && !lease_.must_retake()) {
        return now - last_renewal_ >= renewal_period;
    }
    return is_held() || is_candidate();
}

void duty_lease::continue_release() {
    if (!released_ || call_pending_ || lease_.is_released(state_.time.now())) {
        return;
    }
    if (const auto update = lease_.next_write(state_.time.now())) {
        write(*update);
    } else if (lease_.needs_read()) {
        read();
    }
}

void duty_lease::read() {
    call_pending_ = true;
    store_.read(table, "", [this](const absl::StatusOr<row_batch>& batch) {
        call_pending_ = false;
        update_era();
        if (!batch.ok()) {
            log_failure("read", batch.status());
        }
        if (!batch.ok() || batch->era != era_) {
            return; // The next step tries again; a lease that is held may expire meanwhile.
        }
        on_rows(*batch);
        publish_state();
        continue_release();
    });
}

void duty_lease::on_rows(const row_batch& batch) {
    std::optional<lease_row> row;
    numbers_ = {number_key(*era_), {}, {}};
    old_number_rows_.clear();
    for (const stored_row& stored : batch.rows) {
        if (stored.key == key) {
            const auto record = parse_lease_record(stored.value);
            row = lease_row{record.ok() ? *record : lease_record{}, stored.version};
        } else if (stored.key == numbers_.key) {
            numbers_ = {stored.key, parse_number(stored.value), stored.version};
        } else if (stored.key.starts_with(number_key_prefix)) {
            old_number_rows_.push_back(stored.key);
        }
    }
    // A node that has just started did not see a restore after which nobody took the lease yet.
    const bool is_from_earlier_era =
        numbers_.version == row_version() && (row.has_value() || !old_number_rows_.empty());
    if (!std::exchange(is_era_checked_, true) && is_from_earlier_era) {
        lease_.table_restored(state_.time.now());
    }
    lease_.observe(row, state_.time.now());
    held_row_ = row;
}

row_transaction duty_lease::transaction_for(const lease_write& update) const {
    row_transaction transaction;
    transaction.expected.push_back({table, key, update.expected});
    transaction.puts.push_back({table, key, to_text(update.record)});
    if (update.takes) {
        transaction.expected.push_back({table, numbers_.key, numbers_.version});
        transaction.puts.push_back(
            {table, numbers_.key, json(update.record.fencing.value()).dump()});
        for (const std::string& old : old_number_rows_) {
            transaction.removals.push_back({table, old});
        }
    }
    return transaction;
}

void duty_lease::write(const lease_write& update) {
    call_pending_ = true;
    last_renewal_ = update.sent;
    store_.commit(transaction_for(update),
                  [this, update, era = era_](const absl::StatusOr<row_version>& result) {
                      call_pending_ = false;
                      update_era();
                      if (era != era_) {
                          publish_state();
                          return; // Written on top of rows that the restore replaced.
                      }
                      if (result.ok()) {
                          on_written(update, *result);
                      } else {
                          on_write_failed(update, result.status());
                      }
                      publish_state();
                      if (!absl::IsUnavailable(result.status())) {
                          continue_release(); // Otherwise the next step tries again.
                      }
                  });
}

void duty_lease::on_write_failed(const lease_write& update, const absl::Status& status) {
    log_failure("write", status);
    if (absl::IsAborted(status)) {
        lease_.write_refused();
    } else if (absl::IsDeadlineExceeded(status)) {
        lease_.write_unknown(update);
    }
}

void duty_lease::log_failure(const char* call, const absl::Status& status) {
    if (is_held() || released_) {
        state_.log.write(duty_call_failed, {{"lease", key},
                                            {"call", call},
                                            {"stopping", released_ ? "true" : "false"},
                                            {"why", std::string(status.message())}});
    }
}

void duty_lease::on_written(const lease_write& update, row_version version) {
    const bool is_retaken = lease_.must_retake();
    lease_.write_applied(update, version, state_.time.now());
    held_row_ = lease_row{update.record, version};
    if (update.record.holder.empty()) {
        state_.log.write(duty_released,
                         {{"lease", key}, {"number", absl::StrCat(update.record.fencing.value())}});
    }
    if (!update.takes) {
        return;
    }
    numbers_ = {number_key(*era_), update.record.fencing, version};
    old_number_rows_.clear();
    if (is_retaken) {
        state_.log.write(duty_retaken,
                         {{"lease", key}, {"number", absl::StrCat(update.record.fencing.value())}});
    }
}

void duty_lease::release() {
    released_ = true;
    lease_.begin_release();
    publish_state();
    continue_release();
}

void duty_lease::publish_state() {
    const bool now_held = is_held();
    peers_.set_lease(now_held ? held_row_ : std::nullopt);
    if (now_held == was_held_) {
        return;
    }
    was_held_ = now_held;
    const std::uint64_t number = held_row_ ? held_row_->record.fencing.value() : 0;
    state_.log.write(now_held ? duty_gained : duty_lost,
                     {{"lease", key}, {"number", absl::StrCat(number)}});
}

} // namespace jujubetide
