#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

struct lease_options {
    lease_id lease;
    /// Unique among all processes and their restarts, such as `NODE/RANDOM`.
    std::string holder;
    /// How long the lease lasts after the renewal was sent.
    millis duration{15'000};
    /// Taken off the own lease, for clocks that run at different speeds.
    millis margin{1'000};
    /// Longest time from the check of the lease to the end of an order; at least the sum of the
    /// timeouts of the client that sends orders.
    millis longest_order{5'000};
};

/// Contents of a lease's row in the table.
struct lease_record {
    /// Empty after a release.
    std::string holder;
    /// Names the write that made this record.
    std::string write;
    fencing_number fencing;
    millis duration{0};
};

/// A lease's row as read or written.
struct lease_row {
    lease_record record;
    row_version version;
};

/// A conditional write that takes or renews the lease.
struct lease_write {
    lease_record record;
    /// The row's version that the write depends on.
    row_version expected;
    time_point sent;
    /// Whether the write takes the lease, with a new fencing number.
    bool takes = false;
    /// Whether nobody can have held the lease before.
    bool is_first = false;
};

/// What one process may do under a lease, and when. Without I/O; the callers pass the time in. Not
/// thread-safe.
///
/// The lease of a holder ends `duration` after it *sent* its last successful write, less the
/// margin. Another process takes over only after it has seen the same row version for the row's
/// whole duration on its own clock, so that no clocks are compared.
class lease_state {
public:
    explicit lease_state(lease_options options) : options_(std::move(options)) {}

    [[nodiscard]] const lease_options& options() const { return options_; }

    /// Whether the row must be read before the next write.
    [[nodiscard]] bool needs_read() const { return needs_read_; }
    /// Takes in the row, or its absence, from a read that ended at `read_end`.
    void observe(const std::optional<lease_row>& row, time_point read_end);

    /// The write to send now, or nothing while another holder's lease may last. A write that takes
    /// the lease has a fencing number of at least `lowest`.
    [[nodiscard]] std::optional<lease_write> next_write(time_point now, fencing_number lowest = {});
    /// The write took effect as `version`; `now` is the time at which that became known.
    void write_applied(const lease_write& write, row_version version, time_point now);
    /// The row has changed; the write had no effect.
    void write_refused() { needs_read_ = true; }
    /// The reply was lost; the write may have taken effect, or may later.
    void write_unknown(const lease_write& write);

    /// The table went back to an older copy, in which the row of the holder may be missing. The
    /// holder takes the lease anew while its own still lasts; all others wait for the end of a
    /// lease that was renewed just before. Writes without a reply are not settled any more.
    void table_restored(time_point now);
    /// Held, and to be taken anew after a restore.
    [[nodiscard]] bool must_retake() const { return holds_ && must_retake_; }

    /// Gives the lease up and returns the write that tells others, or nothing when the row is not
    /// known to name this process.
    [[nodiscard]] std::optional<lease_write> release(time_point now);
    /// Gives the lease up for good. From now on, `next_write` returns the write that tells others
    /// for as long as the row names this process, whatever becomes of earlier writes.
    void begin_release() { is_releasing_ = true; }
    /// Whether the row does not name this process any more, and no earlier write can change that.
    [[nodiscard]] bool is_released(time_point now) const;
    /// Another holder's fencing number was met.
    void lost();

    [[nodiscard]] bool held(time_point now) const { return remaining(now) > micros{0}; }
    /// Time in which the lease is safe; zero when it is not held.
    [[nodiscard]] micros remaining(time_point now) const;
    /// The fencing number for an order that is sent now. FailedPrecondition when the order might
    /// not end within the lease; Unavailable while an order of the former holder may be under way
    /// to a server that does not check fencing numbers.
    [[nodiscard]] absl::StatusOr<fencing_number> permit_order(time_point now,
                                                              bool server_checks_fencing) const;

private:
    [[nodiscard]] lease_write make_write(std::string holder, fencing_number fencing,
                                         time_point now);
    [[nodiscard]] bool is_own(const lease_record& record) const;
    /// Whether another holder's lease may last, by the row or by one that a restore removed.
    [[nodiscard]] bool may_be_held(time_point now) const;

    lease_options options_;
    /// The row as last seen, with the time at which this version was first seen.
    std::optional<lease_row> seen_;
    time_point seen_since_{};
    /// Writes whose replies were lost.
    std::vector<lease_write> unknown_writes_;
    std::uint64_t write_count_ = 0;
    fencing_number fencing_;
    time_point taken_{};
    time_point safe_until_{};
    /// The lease of a holder whose row a restore removed has ended by then.
    time_point unknown_holder_until_{};
    bool needs_read_ = true;
    bool holds_ = false;
    /// The holder's row may be gone from the table since a restore.
    bool must_retake_ = false;
    bool was_restored_ = false;
    bool has_predecessor_ = false;
    bool is_releasing_ = false;
};

/// The text of a row, and its reading; InvalidArgument where it is none.
std::string to_text(const lease_record& record);
absl::StatusOr<lease_record> parse_lease_record(const std::string& text);

} // namespace jujubetide
