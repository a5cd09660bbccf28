#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/blackboard/blackboard.h"

#include <optional>

namespace jujubetide {

/// Tells what happens on the hosts of the fleet. Thread-safe; does not block.
class fleet_activity {
public:
    virtual ~fleet_activity() = default;

    /// The service whose backend servers are declared on the host.
    [[nodiscard]] std::optional<service_id> service_of(const host_id& host) const {
        return do_service_of(host);
    }
    /// Whether a backend server on the host reports its load.
    [[nodiscard]] bool serves(const host_id& host) const { return do_serves(host); }
    /// Whether no backend server on the host reports running requests.
    [[nodiscard]] bool is_idle(const host_id& host) const { return do_is_idle(host); }

protected:
    fleet_activity() = default;
    fleet_activity(const fleet_activity&) = default;
    fleet_activity& operator=(const fleet_activity&) = default;
    [[nodiscard]] virtual std::optional<service_id> do_service_of(const host_id& host) const = 0;
    [[nodiscard]] virtual bool do_serves(const host_id& host) const = 0;
    [[nodiscard]] virtual bool do_is_idle(const host_id& host) const = 0;
};

/// By the declared backend servers and their load reports.
class reported_fleet_activity final : public fleet_activity {
public:
    /// The board must outlive this.
    explicit reported_fleet_activity(const blackboard& board) : board_(board) {}

protected:
    [[nodiscard]] std::optional<service_id> do_service_of(const host_id& host) const override;
    [[nodiscard]] bool do_serves(const host_id& host) const override;
    [[nodiscard]] bool do_is_idle(const host_id& host) const override;

private:
    const blackboard& board_;
};

} // namespace jujubetide
