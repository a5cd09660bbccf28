// The state's lock is never held during a call to the table: an order asks for its permit while a
// renewal hangs.
#include "jujubetide/lease/lease_keeper.h"

#include "lease/lease_events.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {
namespace {

constexpr int max_release_attempts = 3;

std::string lease_key(const lease_id& lease) {
    return absl::StrCat("/leases/", lease.str());
}

} // namespace

lease_keeper::lease_keeper(table& platform_table, const clock& time, log_sink& log,
                           lease_options options)
    : table_(platform_table), clock_(time), log_(log), lease_(options.lease),
      key_(lease_key(options.lease)), state_(std::move(options)) {}

absl::Status lease_keeper::step() {
    const std::lock_guard step_lock(step_mutex_);
    const bool held_before = held();
    if (absl::Status status = read(); !status.ok()) {
        return status;
    }
    std::optional<lease_write> next;
    {
        const std::lock_guard lock(mutex_);
        next = state_.next_write(clock_.now());
    }
    absl::Status status;
    if (next) {
        status = write(*next);
        // Settles a lost reply at once, as far as the table answers.
        read().IgnoreError();
    }
    log_change(held_before);
    return status;
}

void lease_keeper::step_each(micros period) {
    const time_point now = clock_.now();
    {
        const std::lock_guard lock(mutex_);
        if (last_step_ && now - *last_step_ < period) {
            return;
        }
        last_step_ = now;
    }
    step().IgnoreError();
}

absl::Status lease_keeper::release() {
    const std::lock_guard step_lock(step_mutex_);
    absl::Status status;
    for (int attempt = 0; attempt < max_release_attempts; ++attempt) {
        status = try_release();
        // A write without a reply, or one that met a late renewal, is settled by the row.
        if (!absl::IsDeadlineExceeded(status) && !absl::IsAborted(status)) {
            break;
        }
    }
    if (!status.ok()) {
        log_.write(lease_events::lease_release_failed,
                   {{"lease", lease_.str()}, {"error", std::string(status.message())}});
    }
    return status;
}

absl::Status lease_keeper::try_release() {
    absl::Status known = read();
    std::optional<lease_write> release;
    {
        const std::lock_guard lock(mutex_);
        release = state_.release(clock_.now());
    }
    if (!known.ok() || !release) {
        return known;
    }
    return table_.commit({{{key_, release->expected}}, {{key_, to_text(release->record)}}})
        .status();
}

void lease_keeper::lost() {
    const std::lock_guard lock(mutex_);
    state_.lost();
    log_.write(lease_events::lease_lost, {{"lease", lease_.str()}});
}

bool lease_keeper::held() const {
    return remaining() > micros{0};
}

micros lease_keeper::remaining() const {
    const std::lock_guard lock(mutex_);
    return state_.remaining(clock_.now());
}

absl::StatusOr<fencing_number> lease_keeper::permit_order(bool server_checks_fencing) const {
    const std::lock_guard lock(mutex_);
    return state_.permit_order(clock_.now(), server_checks_fencing);
}

absl::Status lease_keeper::read() {
    {
        const std::lock_guard lock(mutex_);
        if (!state_.needs_read()) {
            return absl::OkStatus();
        }
    }
    const auto row = table_.get(key_);
    if (!row.ok()) {
        return row.status();
    }
    std::optional<lease_row> seen;
    if (*row) {
        const auto record = parse_lease_record((*row)->value);
        if (!record.ok()) {
            return record.status();
        }
        seen = lease_row{*record, (*row)->version};
    }
    const std::lock_guard lock(mutex_);
    state_.observe(seen, clock_.now());
    return absl::OkStatus();
}

absl::Status lease_keeper::write(const lease_write& write) {
    const auto version = table_.commit({{{key_, write.expected}}, {{key_, to_text(write.record)}}});
    const std::lock_guard lock(mutex_);
    if (version.ok()) {
        state_.write_applied(write, *version, clock_.now());
        return absl::OkStatus();
    }
    if (absl::IsAborted(version.status())) {
        state_.write_refused();
        return absl::OkStatus();
    }
    log_.write(lease_events::lease_write_failed,
               {{"lease", lease_.str()}, {"error", std::string(version.status().message())}});
    if (!absl::IsUnavailable(version.status())) {
        state_.write_unknown(write);
    }
    return version.status();
}

void lease_keeper::log_change(bool held_before) {
    const bool held_now = held();
    if (held_now != held_before) {
        log_.write(held_now ? lease_events::lease_taken : lease_events::lease_lost,
                   {{"lease", lease_.str()}});
    }
}

} // namespace jujubetide
