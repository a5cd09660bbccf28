#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/base/log.h"
#include "jujubetide/lease/lease_keeper.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/container/flat_hash_map.h>

#include <mutex>
#include <vector>

namespace jujubetide {

/// The state that one engine is to be in.
struct desired_engine_state {
    backend_server_id id;
    endpoint address;
    /// From the server's settings: whether it refuses old fencing numbers.
    bool checks_fencing = false;
    version_id version;
    engine_role role = engine_role::mixed;
};

/// The states that the settings declare for the engines of all model services.
std::vector<desired_engine_state> declared_engine_states(const settings_snapshot& settings);

enum class order_outcome {
    /// The engine reports the desired version.
    in_force,
    /// Ordered, but not reported yet or not reachable; to be repeated.
    pending,
    /// No order was sent: the lease does not allow it now.
    withheld,
};

struct order_result {
    backend_server_id server;
    order_outcome outcome = order_outcome::pending;
    /// Why the state is not in force; OK otherwise.
    absl::Status status;
};

/// Orders engines into their desired state under a lease. Thread-safe.
class order_sender {
public:
    /// All must outlive the sender. The lease's `longest_order` must cover the client's timeouts.
    order_sender(lease_keeper& lease, engine_client& engines, log_sink& log)
        : lease_(lease), engines_(engines), log_(log) {}

    /// Orders the engines that need it and reads back each result; to be called once each period.
    /// Blocks on the engines, several at a time. A server that checks fencing numbers is ordered
    /// until it reports the desired state; one that does not is ordered each time, so that an old
    /// holder's late order lasts no longer than a period.
    std::vector<order_result> bring_about(const std::vector<desired_engine_state>& states);

private:
    struct confirmed_state {
        fencing_number fencing;
        version_id version;
        engine_role role = engine_role::mixed;
        friend bool operator==(const confirmed_state&, const confirmed_state&) = default;
    };

    order_result bring_about(const desired_engine_state& wanted);
    [[nodiscard]] bool needs_order(const desired_engine_state& wanted, fencing_number fencing);
    absl::Status send(const desired_engine_state& wanted, fencing_number fencing);
    order_result read_back(const desired_engine_state& wanted, fencing_number fencing);

    lease_keeper& lease_;
    engine_client& engines_;
    log_sink& log_;
    std::mutex mutex_;
    absl::flat_hash_map<backend_server_id, confirmed_state> confirmed_;
};

} // namespace jujubetide
