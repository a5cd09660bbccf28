#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <span>
#include <vector>

namespace jujubetide {

struct backend_server_settings;
struct service_settings;

/// How one attempt on a version went, as evidence for version moves.
struct version_outcome {
    service_id service;
    route_id route;
    version_id version;
    backend_server_id server;
    /// Whether the server itself failed: an error, a stall, an early end, a wrong answer. Reclaims,
    /// refusals for load and callers that went away do not count.
    bool failed = false;
    /// Time to the first piece, or of the whole answer for plain services.
    micros latency{0};
    time_point now{};
};

/// Chooses the version that a request runs on and collects the evidence. Thread-safe.
class version_selector {
public:
    virtual ~version_selector() = default;
    /// The version for this request; the same request gets the same version while the move's share
    /// stays. A retry of a request must not raise the share of a version under trial.
    [[nodiscard]] version_id select(const service_settings& service, const route_id& route,
                                    const request_id& request) {
        return do_select(service, route, request);
    }
    void record(const version_outcome& outcome) { do_record(outcome); }
    /// The candidates without servers that are kept free: a version under trial gets few servers,
    /// at full load each, so that faults under load show.
    [[nodiscard]] std::vector<const backend_server_settings*>
    servers(const service_id& service,
            std::span<const backend_server_settings* const> candidates) const {
        return do_servers(service, candidates);
    }

protected:
    version_selector() = default;
    version_selector(const version_selector&) = default;
    version_selector& operator=(const version_selector&) = default;
    virtual version_id do_select(const service_settings& service, const route_id& route,
                                 const request_id& request) = 0;
    virtual void do_record(const version_outcome& outcome) = 0;
    /// Keeps all candidates unless overridden.
    [[nodiscard]] virtual std::vector<const backend_server_settings*>
    do_servers(const service_id& service,
               std::span<const backend_server_settings* const> candidates) const;
};

/// Gives every request the service's settled version; used where no move is on.
class settled_version_selector final : public version_selector {
protected:
    version_id do_select(const service_settings& service, const route_id& route,
                         const request_id& request) override;
    void do_record(const version_outcome& outcome) override;
};

} // namespace jujubetide
