#pragma once

#include "node/peer_exchange.h"

#include "jujubetide/lease/lease_state.h"

namespace jujubetide {

/// Acquires and renews, through the store, the lease for the duties that one node carries out on
/// behalf of all.
class duty_lease {
public:
    static constexpr const char* table = "jujubetide-leases";
    static constexpr const char* key = "duties";

    /// The arguments must outlive the lease.
    duty_lease(serving_state& state, row_store& store, peer_exchange& peers);

    void start();
    /// Gives the duties up at once and begins to release the lease, so that another node need not
    /// wait until it expires. A call under way is awaited, and calls that fail are repeated.
    void release();

    [[nodiscard]] bool is_held() const { return lease_.held(state_.time.now()); }
    /// The fencing number for a call that is sent now; errors as for `lease_state::permit_order`.
    [[nodiscard]] absl::StatusOr<fencing_number> permit() const {
        return lease_.permit_order(state_.time.now(), false);
    }

private:
    /// The row that keeps the highest fencing number that was given out in an era of the store.
    /// Only nodes that know of that era write it, so that a late write of an earlier era cannot set
    /// the number back.
    struct number_row {
        std::string key;
        fencing_number highest;
        row_version version;
    };

    void step();
    [[nodiscard]] bool is_call_due() const;
    /// Sends the next call of a release that is not complete, unless one is under way.
    void continue_release();
    void read();
    void write(const lease_write& update);
    void on_rows(const row_batch& batch);
    void on_written(const lease_write& update, row_version version);
    void on_write_failed(const lease_write& update, const absl::Status& status);
    void log_failure(const char* call, const absl::Status& status);
    /// Notes that the store was restored since the last call.
    void update_era();
    /// The lowest number that a holder may take in the store's era.
    [[nodiscard]] fencing_number lowest_number() const;
    [[nodiscard]] row_transaction transaction_for(const lease_write& update) const;
    [[nodiscard]] bool is_candidate() const;
    void publish_state();

    serving_state& state_;
    row_store& store_;
    peer_exchange& peers_;
    lease_state lease_;
    /// The row as last written or read.
    std::optional<lease_row> held_row_;
    /// The era in which the lease is held or waited for; nothing before the store's first answer.
    std::optional<store_era> era_;
    number_row numbers_;
    /// Keys of the number rows of earlier eras.
    std::vector<std::string> old_number_rows_;
    /// Whether it is known if the store was restored since the lease was taken last.
    bool is_era_checked_ = false;
    bool call_pending_ = false;
    bool was_held_ = false;
    bool released_ = false;
    std::unique_ptr<timer_subscription> timer_;
    time_point last_renewal_{};
};

} // namespace jujubetide
