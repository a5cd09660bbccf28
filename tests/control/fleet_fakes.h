#pragma once

#include "control/fleet_activity.h"

#include "jujubetide/platform/cloud.h"
#include "jujubetide/platform/host_list.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujubetide {

/// A cloud and its list of hosts in memory, with faults as a test says. Not thread-safe.
class fake_cloud final : public cloud, public host_list {
public:
    std::vector<host_price> offers;
    std::vector<listed_host> hosts;
    std::map<std::string, host_id> started;
    std::vector<host_id> stopped;
    std::set<failure_domain_id> refused;
    int start_calls = 0;
    int lost_start_replies = 0;
    bool down = false;
    /// Runs before each list of hosts is given.
    std::function<void()> before_list = [] {};

protected:
    absl::StatusOr<host_id> do_start(const host_start& request) override {
        ++start_calls;
        if (down) {
            return absl::UnavailableError("down");
        }
        if (const auto found = started.find(request.start_id); found != started.end()) {
            return found->second;
        }
        if (refused.contains(request.failure_domain)) {
            return absl::ResourceExhaustedError("none left");
        }
        const host_id host("host-" + request.start_id);
        started[request.start_id] = host;
        hosts.push_back(
            {host, request.failure_domain, request.host_class, request.reclaimable, false});
        if (lost_start_replies > 0) {
            --lost_start_replies;
            return absl::DeadlineExceededError("the reply was lost");
        }
        return host;
    }
    absl::Status do_stop(const host_id& host) override {
        if (down) {
            return absl::UnavailableError("down");
        }
        stopped.push_back(host);
        std::erase_if(hosts, [&host](const listed_host& each) { return each.host == host; });
        return absl::OkStatus();
    }
    absl::StatusOr<std::vector<reclaim_notice>> do_reclaim_notices() override {
        return std::vector<reclaim_notice>();
    }
    absl::StatusOr<std::vector<host_price>> do_prices() override { return offers; }
    absl::StatusOr<std::vector<listed_host>> do_list() override {
        before_list();
        return hosts;
    }
};

/// Activity as a test says; hosts that the cloud started serve the service of their start id.
class fake_activity final : public fleet_activity {
public:
    std::map<host_id, service_id> services;
    std::set<host_id> serving;
    std::set<host_id> busy;

protected:
    std::optional<service_id> do_service_of(const host_id& host) const override {
        const auto found = services.find(host);
        return found == services.end() ? std::nullopt : std::optional(found->second);
    }
    bool do_serves(const host_id& host) const override { return serving.contains(host); }
    bool do_is_idle(const host_id& host) const override { return !busy.contains(host); }
};

} // namespace jujubetide
