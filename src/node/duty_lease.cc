#include "node/duty_lease.h"

#include "node/node_events.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {
namespace {

/// How often the lease is looked at, and renewed.
constexpr micros step_period{300'000};
constexpr micros renewal_period{1'200'000};
/// Taken off the own lease, for clocks that run at different speeds.
constexpr millis clock_margin{300};
/// Limit on one call to the platform, and some time to carry it out.
constexpr millis longest_call{1'200};

lease_options options_of(const serving_state& state, incarnation start) {
    lease_options options;
    options.lease = lease_id(duty_lease::key);
    options.holder = absl::StrCat(state.settings.node.str(), "/", start.value());
    // Renewals that fail once must not lose it.
    options.duration = state.settings.lease_duration + longest_call;
    options.margin = clock_margin;
    options.longest_order = longest_call;
    return options;
}

} // namespace

duty_lease::duty_lease(serving_state& state, row_store& store, peer_exchange& peers)
    : state_(state), store_(store), peers_(peers),
      lease_(options_of(state, peers.own_incarnation())) {}

void duty_lease::start() {
    timer_ = state_.timers.every(step_period, step_period, [this] { step(); });
}

bool duty_lease::is_candidate() const {
    return !state_.stopping && peers_.has_usage_history() && !peers_.has_peer_holding_duties() &&
           peers_.is_duty_candidate();
}

void duty_lease::step() {
    note_change();
    const time_point now = state_.time.now();
    if (busy_ || released_) {
        return;
    }
    const bool renews = is_held();
    if (renews ? now - last_renewal_ < renewal_period : !is_candidate()) {
        return;
    }
    const std::optional<lease_write> what =
        lease_.needs_read() ? std::nullopt : lease_.next_write(now);
    if (what) {
        write(*what);
    } else {
        read(); // The row is not known, or another's lease may last and be renewed.
    }
}

void duty_lease::read() {
    busy_ = true;
    store_.read(table, key, [this](const absl::StatusOr<row_batch>& batch) {
        busy_ = false;
        if (!batch.ok()) {
            return; // The next step tries again; a lease that is held runs out meanwhile.
        }
        std::optional<lease_row> row;
        for (const stored_row& one : batch->rows) {
            if (one.key == key) {
                const auto record = parse_lease_record(one.value);
                row = lease_row{record.ok() ? *record : lease_record{}, one.version};
            }
        }
        lease_.observe(row, state_.time.now());
        held_row_ = row;
        note_change();
    });
}

void duty_lease::write(const lease_write& what) {
    busy_ = true;
    last_renewal_ = what.sent;
    row_transaction transaction;
    transaction.expected.push_back({table, key, what.expected});
    transaction.puts.push_back({table, key, to_text(what.record)});
    store_.commit(transaction, [this, what](const absl::StatusOr<row_version>& done) {
        busy_ = false;
        if (done.ok()) {
            lease_.write_applied(what, *done, state_.time.now());
            held_row_ = lease_row{what.record, *done};
        } else if (absl::IsAborted(done.status())) {
            lease_.write_refused();
        } else if (absl::IsDeadlineExceeded(done.status())) {
            lease_.write_unknown(what);
        }
        note_change();
    });
}

void duty_lease::release() {
    released_ = true;
    const auto what = lease_.release(state_.time.now());
    if (!what || busy_) {
        return;
    }
    row_transaction transaction;
    transaction.expected.push_back({table, key, what->expected});
    transaction.puts.push_back({table, key, to_text(what->record)});
    store_.commit(transaction, [](const absl::StatusOr<row_version>&) {
        // Where this fails the lease runs out by itself.
    });
    note_change();
}

void duty_lease::note_change() {
    const bool now_held = is_held();
    peers_.set_lease(now_held ? held_row_ : std::nullopt);
    if (now_held == was_held_) {
        return;
    }
    was_held_ = now_held;
    state_.log.write(now_held ? duty_gained : duty_lost, {{"lease", key}});
}

} // namespace jujubetide
