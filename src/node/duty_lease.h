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
    /// Releases the lease, so that another node need not wait until it expires.
    void release();

    [[nodiscard]] bool is_held() const { return lease_.held(state_.time.now()); }
    /// The fencing number for a call that is sent now; errors as for `lease_state::permit_order`.
    [[nodiscard]] absl::StatusOr<fencing_number> permit() const {
        return lease_.permit_order(state_.time.now(), false);
    }

private:
    void step();
    void read();
    void write(const lease_write& update);
    [[nodiscard]] bool is_candidate() const;
    void publish_state();

    serving_state& state_;
    row_store& store_;
    peer_exchange& peers_;
    lease_state lease_;
    /// The row as last written or read.
    std::optional<lease_row> held_row_;
    bool call_pending_ = false;
    bool was_held_ = false;
    bool released_ = false;
    std::unique_ptr<timer_subscription> timer_;
    time_point last_renewal_{};
};

} // namespace jujubetide
