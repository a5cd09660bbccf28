#include "node/duty_lease.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

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

void duty_lease::step() {
    publish_state();
    const time_point now = state_.time.now();
    if (call_pending_ || released_) {
        return;
    }
    const bool is_renewal = is_held();
    if (is_renewal ? now - last_renewal_ < renewal_period : !is_candidate()) {
        return;
    }
    const std::optional<lease_write> update =
        lease_.needs_read() ? std::nullopt : lease_.next_write(now);
    if (update) {
        write(*update);
    } else {
        read(); // The row is not known, or another node may still hold and renew its lease.
    }
}

void duty_lease::read() {
    call_pending_ = true;
    store_.read(table, key, [this](const absl::StatusOr<row_batch>& batch) {
        call_pending_ = false;
        if (!batch.ok()) {
            return; // The next step tries again; a lease that is held may expire meanwhile.
        }
        std::optional<lease_row> row;
        for (const stored_row& stored : batch->rows) {
            if (stored.key == key) {
                const auto record = parse_lease_record(stored.value);
                row = lease_row{record.ok() ? *record : lease_record{}, stored.version};
            }
        }
        lease_.observe(row, state_.time.now());
        held_row_ = row;
        publish_state();
    });
}

void duty_lease::write(const lease_write& update) {
    call_pending_ = true;
    last_renewal_ = update.sent;
    row_transaction transaction;
    transaction.expected.push_back({table, key, update.expected});
    transaction.puts.push_back({table, key, to_text(update.record)});
    store_.commit(transaction, [this, update](const absl::StatusOr<row_version>& result) {
        call_pending_ = false;
        if (result.ok()) {
            lease_.write_applied(update, *result, state_.time.now());
            held_row_ = lease_row{update.record, *result};
        } else if (absl::IsAborted(result.status())) {
            lease_.write_refused();
        } else if (absl::IsDeadlineExceeded(result.status())) {
            lease_.write_unknown(update);
        }
        publish_state();
    });
}

void duty_lease::release() {
    released_ = true;
    const auto update = lease_.release(state_.time.now());
    if (!update || call_pending_) {
        return;
    }
    row_transaction transaction;
    transaction.expected.push_back({table, key, update->expected});
    transaction.puts.push_back({table, key, to_text(update->record)});
    store_.commit(transaction, [](const absl::StatusOr<row_version>&) {
        // If this fails, the lease expires by itself.
    });
    publish_state();
}

void duty_lease::publish_state() {
    const bool now_held = is_held();
    peers_.set_lease(now_held ? held_row_ : std::nullopt);
    if (now_held == was_held_) {
        return;
    }
    was_held_ = now_held;
    state_.log.write(now_held ? duty_gained : duty_lost, {{"lease", key}});
}

} // namespace jujubetide
