#include "node/table_observers.h"

#include "node/node_events.h"

#include <set>
#include <utility>

namespace jujubetide {
namespace {

void log_table_away(log_sink& log, const std::string& table, const absl::Status& status) {
    log.write(table_away, {{"table", table}, {"why", std::string(status.message())}});
}

void log_table_back(log_sink& log, const std::string& table) {
    log.write(table_back, {{"table", table}});
}

} // namespace

config_observer::config_observer(serving_state& state, const row_decoder& decoder,
                                 platform_table_names tables, std::function<void()> on_change)
    : state_(state), decoder_(decoder), tables_(std::move(tables)),
      on_change_(std::move(on_change)) {}

void config_observer::do_snapshot(const std::vector<stored_row>& rows, store_position) {
    std::set<failure_domain_id> evacuated;
    for (const stored_row& row : rows) {
        if (row.key.starts_with(tables_.evacuation_prefix)) {
            evacuated.emplace(row.key.substr(tables_.evacuation_prefix.size()));
        }
    }
    for (const failure_domain_id& domain : state_.backends.evacuated().missing_from(evacuated)) {
        end_evacuation(domain);
    }
    do_changes(rows);
}

void config_observer::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        if (row.key == tables_.config_key && !row.removed) {
            apply(row);
        } else if (row.key.starts_with(tables_.move_order_prefix)) {
            apply_move_order(row);
        } else if (row.key.starts_with(tables_.evacuation_prefix)) {
            apply_evacuation(row);
        }
    }
}

void config_observer::apply_move_order(const stored_row& row) {
    if (row.removed) {
        state_.trials.on_order_removed(
            service_id(row.key.substr(tables_.move_order_prefix.size())));
        return;
    }
    const absl::StatusOr<move_order> order = decoder_.order(row.value);
    if (!order.ok()) {
        state_.log.write(move_order_rejected,
                         {{"key", row.key}, {"why", std::string(order.status().message())}});
        return;
    }
    if (state_.trials.on_order(*order)) {
        state_.log.write(move_ordered,
                         {{"service", order->service.str()}, {"version", order->to.str()}});
    }
}

void config_observer::apply_evacuation(const stored_row& row) {
    const failure_domain_id domain(row.key.substr(tables_.evacuation_prefix.size()));
    if (row.removed) {
        end_evacuation(domain);
    } else if (state_.backends.evacuated().begin(domain)) {
        state_.log.write(evacuation_began, {{"failure_domain", domain.str()}});
    }
}

void config_observer::end_evacuation(const failure_domain_id& domain) {
    if (state_.backends.evacuated().end(domain)) {
        state_.log.write(evacuation_ended, {{"failure_domain", domain.str()}});
        for (const auto& [id, item] : state_.backends.all()) {
            if (item.server.failure_domain == domain) {
                state_.cold.on_returned(item.server, state_.time.now());
            }
        }
    }
}

void config_observer::apply(const stored_row& row) {
    absl::StatusOr<serving_config::parts> parts = decoder_.config(row.value);
    if (!parts.ok()) {
        state_.log.write(config_rejected, {{"row_version", std::to_string(row.version.value())},
                                           {"why", std::string(parts.status().message())}});
        return;
    }
    const std::uint64_t previous = state_.config ? state_.config->version() : 0;
    if (state_.config && parts->version <= previous) {
        return;
    }
    state_.config = serving_config::make(*std::move(parts));
    state_.cold.on_config(*state_.config);
    row_in_force_ = row;
    state_.log.write(config_in_force, {{"config", std::to_string(state_.config->version())},
                                       {"before", std::to_string(previous)},
                                       {"routes", std::to_string(state_.config->routes().size())}});
    on_change_();
}

// Each node follows the configuration itself, so that this tells of its own way to the store.
void config_observer::do_store_unavailable(const absl::Status& status) {
    state_.is_store_away = true;
    log_table_away(state_.log, tables_.config_table, status);
}

void config_observer::do_store_recovered() {
    state_.is_store_away = false;
    log_table_back(state_.log, tables_.config_table);
}

registration_observer::registration_observer(serving_state& state, const row_decoder& decoder,
                                             platform_table_names tables)
    : state_(state), decoder_(decoder), tables_(std::move(tables)) {}

std::optional<backend_server> registration_observer::decode(const stored_row& row) {
    absl::StatusOr<backend_server> server =
        decoder_.registration(backend_server_id(row.key), row.value);
    if (!server.ok()) {
        state_.log.write(registration_rejected,
                         {{"server", row.key}, {"why", std::string(server.status().message())}});
        return std::nullopt;
    }
    return *std::move(server);
}

void registration_observer::do_snapshot(const std::vector<stored_row>& rows, store_position at) {
    const std::optional<store_era> era_before = std::exchange(era_, at.era);
    const bool is_restored = era_before && era_before != at.era;
    std::vector<backend_server> servers;
    for (const stored_row& row : rows) {
        if (auto server = decode(row)) {
            servers.push_back(*std::move(server));
        }
    }
    for (const backend_server& server : servers) {
        put(server);
    }
    for (const backend_server_id& id : state_.backends.missing_from(servers)) {
        remove(id, is_restored);
    }
    if (is_restored) {
        state_.backends.postpone_lost(state_.time.now()); // Another restore amid the first.
    }
}

void registration_observer::do_changes(const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        if (row.removed) {
            remove(backend_server_id(row.key), false);
        } else if (const auto server = decode(row)) {
            put(*server);
        }
    }
}

void registration_observer::put(const backend_server& server) {
    const backend_list::entry* previous = state_.backends.find(server.id);
    if (previous == nullptr || previous->lapsed_at) {
        state_.log.write(server_seen, {{"server", server.id.str()},
                                       {"service", server.service.str()},
                                       {"address", server.address.str()},
                                       {"failure_domain", server.failure_domain.str()},
                                       {"reclaimable", server.reclaimable ? "yes" : "no"},
                                       {"version", server.version.str()}});
    }
    if (server.leaving && (previous == nullptr || !previous->server.leaving)) {
        state_.log.write(server_leaving, {{"server", server.id.str()}});
    }
    if (previous != nullptr && previous->server.started_at_ms != server.started_at_ms) {
        state_.health.forget(server.id);
        state_.prompts.forget(server.id);
        state_.engines.forget(server.id);
        state_.plain.forget(server.id);
        state_.limits.forget(server.id);
        state_.brittle.forget(server.id);
    }
    state_.backends.put(server);
    update_cold(server);
}

void registration_observer::update_cold(const backend_server& server) {
    const bool was_cold = state_.cold.is_cold(server.id);
    state_.cold.on_registered(server, state_.time.now());
    if (!was_cold && state_.cold.is_cold(server.id)) {
        state_.log.write(server_cold, {{"server", server.id.str()},
                                       {"ms", std::to_string(server.warm_up.count())},
                                       {"nodes", std::to_string(state_.nodes)}});
    } else if (was_cold && !state_.cold.is_cold(server.id)) {
        state_.log.write(server_warm, {{"server", server.id.str()}});
    }
}

void registration_observer::remove(const backend_server_id& id, bool is_lost) {
    const backend_list::entry* previous = state_.backends.find(id);
    if (previous == nullptr || previous->lapsed_at) {
        return;
    }
    state_.log.write(previous->is_leaving() ? server_gone : server_vanished,
                     {{"server", id.str()}});
    if (is_lost) {
        state_.backends.lose(id, state_.time.now());
    } else {
        state_.backends.remove(id, state_.time.now());
    }
}

void registration_observer::expire() {
    if (state_.is_store_away) {
        state_.backends.postpone_lost(state_.time.now());
    }
    for (const backend_server_id& id : state_.backends.expire(state_.time.now())) {
        state_.health.forget(id);
        state_.prompts.forget(id);
        state_.cold.forget(id);
        state_.engines.forget(id);
        state_.plain.forget(id);
        state_.limits.forget(id);
        state_.brittle.forget(id);
        state_.log.write(server_gone, {{"server", id.str()}});
    }
    for (const backend_server_id& id : state_.cold.expire(state_.time.now())) {
        state_.log.write(server_warm, {{"server", id.str()}});
    }
}

void registration_observer::do_store_unavailable(const absl::Status& status) {
    log_table_away(state_.log, tables_.registration_table, status);
}

void registration_observer::do_store_recovered() {
    log_table_back(state_.log, tables_.registration_table);
}

} // namespace jujubetide
