// Between the check of the lease and the arrival of the order the process may be frozen. A server
// that checks fencing numbers refuses the late order. At one that does not, the late order takes
// effect after all; repeating the desired state each period bounds how long.
#include "jujubetide/lease/order_sender.h"

#include "lease/lease_events.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace jujubetide {

namespace {

/// Engines that are ordered at the same time. Engines that do not answer, such as those of a lost
/// failure domain, must not hold up the others for longer than a period.
constexpr std::size_t max_parallel_orders = 16;

} // namespace

std::vector<desired_engine_state> declared_engine_states(const settings_snapshot& settings) {
    std::vector<desired_engine_state> states;
    for (const service_settings& service : settings.services()) {
        if (service.kind != service_kind::model) {
            continue;
        }
        for (const backend_server_settings* server : settings.servers_of(service.id)) {
            states.push_back({server->id, server->address, server->checks_fencing, server->version,
                              engine_role::mixed});
        }
    }
    return states;
}

std::vector<order_result>
order_sender::bring_about(const std::vector<desired_engine_state>& states) {
    std::vector<order_result> results(states.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (std::size_t i = next++; i < states.size(); i = next++) {
            results[i] = bring_about(states[i]);
        }
    };
    std::vector<std::thread> helpers;
    for (std::size_t i = 1; i < std::min(max_parallel_orders, states.size()); ++i) {
        helpers.emplace_back(work);
    }
    work();
    for (std::thread& helper : helpers) {
        helper.join();
    }
    return results;
}

order_result order_sender::bring_about(const desired_engine_state& wanted) {
    const auto permit = lease_.permit_order(wanted.checks_fencing);
    if (!permit.ok()) {
        log_.write(
            lease_events::order_withheld,
            {{"server", wanted.id.str()}, {"reason", std::string(permit.status().message())}});
        return {wanted.id, order_outcome::withheld, permit.status()};
    }
    if (needs_order(wanted, *permit)) {
        absl::Status sent = send(wanted, *permit);
        if (absl::IsFailedPrecondition(sent)) {
            lease_.lost();
            return {wanted.id, order_outcome::withheld, sent};
        }
    }
    return read_back(wanted, *permit);
}

bool order_sender::needs_order(const desired_engine_state& wanted, fencing_number fencing) {
    if (!wanted.checks_fencing) {
        return true;
    }
    const std::lock_guard lock(mutex_);
    const auto found = confirmed_.find(wanted.id);
    return found == confirmed_.end() ||
           found->second != confirmed_state{fencing, wanted.version, wanted.role};
}

absl::Status order_sender::send(const desired_engine_state& wanted, fencing_number fencing) {
    const engine_order order{lease_.lease(), fencing, wanted.version, wanted.role};
    absl::Status sent = engines_.order(wanted.address, order);
    if (!sent.ok()) {
        log_.write(lease_events::order_failed,
                   {{"server", wanted.id.str()}, {"error", std::string(sent.message())}});
        return sent;
    }
    const std::lock_guard lock(mutex_);
    confirmed_[wanted.id] = {fencing, wanted.version, wanted.role};
    return sent;
}

order_result order_sender::read_back(const desired_engine_state& wanted, fencing_number fencing) {
    const auto load = engines_.load(wanted.address);
    if (!load.ok()) {
        return {wanted.id, order_outcome::pending, load.status()};
    }
    const std::lock_guard lock(mutex_);
    const auto found = confirmed_.find(wanted.id);
    const bool ordered = found != confirmed_.end() &&
                         found->second == confirmed_state{fencing, wanted.version, wanted.role};
    if (ordered && load->version == wanted.version) {
        return {wanted.id, order_outcome::in_force, absl::OkStatus()};
    }
    // An engine that restarted has forgotten its orders.
    confirmed_.erase(wanted.id);
    return {wanted.id, order_outcome::pending,
            absl::UnavailableError(
                absl::StrCat("the engine reports version '", load->version.str(), "'"))};
}

} // namespace jujubetide
