#include "jujubetide/node/node.h"

#include "node/caller_request_handler.h"
#include "node/duty_lease.h"
#include "node/instrumented_row_store.h"
#include "node/node_events.h"
#include "node/peer_exchange.h"
#include "node/peer_service.h"
#include "node/proxied_call.h"
#include "node/row_mirror.h"
#include "node/server_scaler.h"
#include "node/serving_state.h"
#include "node/table_follow_policy.h"
#include "node/table_observers.h"
#include "node/usage_reporter.h"

#include "jujubetide/base/build_identity.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr micros expiry_period{200'000};
/// How often a stopping node checks whether all calls have ended.
constexpr micros stop_check_period{100'000};
/// Connections and calls are accepted for this long after the stop began, for callers that still
/// have this node's address from the directory. Later calls are refused.
constexpr micros accept_time_after_stop{2'500'000};
/// A stopping node closes connections that had no request for this long; the first request of a
/// new connection may be in transit.
constexpr micros stopping_idle_timeout{1'000'000};
/// Time to send the last responses.
constexpr micros flush_time{300'000};
/// Part of the grace period after which a stopping node ends calls that still run.
constexpr double usable_grace_ratio = 0.94;
/// How long callers may cache a list of nodes, even if the platform allows longer.
constexpr millis preferred_directory_lifetime{2'000};
/// Parts of the process's descriptors, of 64, that connections of callers and of peers may take.
/// The rest is for files, for connections to servers and for the ports of probes.
constexpr std::size_t descriptor_parts = 64;
constexpr std::size_t caller_parts = 40;
constexpr std::size_t peer_parts = 8;

/// Part of the memory of the process that connections may buffer; the rest is for the node itself.
constexpr std::size_t buffer_divisor = 2;

/// How often rows of dead nodes are removed and old prompt records expire.
constexpr micros cleaning_period{5'000'000};

/// Rows of servers and nodes change often and may be batched, unlike the configuration's, which
/// must arrive at once.
constexpr micros shared_table_interval{250'000};

http1_limits make_http1_limits(const caller_limits& configured, std::size_t max_descriptors) {
    http1_limits limits;
    limits.max_head_bytes = configured.max_header_bytes;
    limits.max_body_bytes = configured.max_body_bytes;
    limits.head_timeout = configured.header_timeout;
    limits.idle_timeout = configured.idle_timeout;
    limits.max_connections = max_descriptors * caller_parts / descriptor_parts;
    return limits;
}

follower_options shared_table_options() {
    follower_options options;
    options.min_poll_interval = shared_table_interval;
    return options;
}

incarnation make_start_number(const clock& time) {
    return incarnation(static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
}

} // namespace

struct node::components {
    components(const node_settings& settings, const node_dependencies& dependencies)
        : state(settings, dependencies.loop, dependencies.loop, dependencies.time, dependencies.log,
                dependencies.random, dependencies.codec),
          store(dependencies.store, state.metrics, dependencies.log),
          configs(state, dependencies.decoder, dependencies.tables, [this] { on_config(); }),
          registrations(state, dependencies.decoder, dependencies.tables),
          config_follower(store, dependencies.loop, dependencies.time, dependencies.random,
                          dependencies.tables.config_table, config_mirror),
          registration_follower(store, dependencies.loop, dependencies.time, dependencies.random,
                                dependencies.tables.registration_table, registration_mirror,
                                shared_table_options()) {}

    void on_config() { set_limits(state.config->limits()); }
    void set_limits(const caller_limits& limits) {
        callers->set_limits(make_http1_limits(limits, state.settings.max_descriptors));
        peer_answers->set_limits(limits,
                                 state.settings.max_descriptors * peer_parts / descriptor_parts);
    }
    void on_links_changed();
    void check_stop();
    void abandon_calls();

    serving_state state;
    instrumented_row_store store;
    caller_request_handler front{state};
    std::unique_ptr<http1_server> callers;
    config_observer configs;
    registration_observer registrations;
    row_mirror config_mirror{configs};
    row_mirror registration_mirror{registrations};
    table_follower config_follower;
    table_follower registration_follower;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<row_mirror> peer_mirror;
    std::unique_ptr<table_follower> peer_follower;
    std::unique_ptr<table_follow_policy> feeds;
    std::unique_ptr<peer_service> peer_answers;
    std::unique_ptr<duty_lease> lease;
    std::unique_ptr<usage_reporter> usage;
    std::unique_ptr<server_scaler> scaler;
    std::unique_ptr<timer_subscription> expiry;
    std::unique_ptr<timer_subscription> cleaning;
    std::unique_ptr<timer_subscription> stop_check;
    time_point stop_began{};
    /// Time from the start of the stop to the last check that found calls or callers' connections.
    micros last_busy{0};
};

absl::StatusOr<std::unique_ptr<node>> node::make(const node_settings& settings,
                                                 const node_dependencies& dependencies) {
    dependencies.loop.buffers().set_limit(settings.memory / buffer_divisor);
    auto parts = std::make_unique<components>(settings, dependencies);
    auto callers = http1_server::make(dependencies.loop, dependencies.time,
                                      settings.caller_endpoint, parts->front);
    if (!callers.ok()) {
        return callers.status();
    }
    parts->callers = *std::move(callers);
    parts->state.settings.caller_endpoint = parts->callers->address();
    auto peers =
        peer_exchange::make(parts->state, parts->store, make_start_number(dependencies.time));
    if (!peers.ok()) {
        return peers.status();
    }
    parts->peers = *std::move(peers);
    parts->peer_mirror = std::make_unique<row_mirror>(*parts->peers);
    parts->peer_follower = std::make_unique<table_follower>(
        parts->store, dependencies.loop, dependencies.time, dependencies.random,
        peer_exchange::table, *parts->peer_mirror, shared_table_options());
    auto peer_answers = peer_service::make(
        parts->state, *parts->peers,
        {{dependencies.tables.config_table, parts->config_follower, parts->config_mirror},
         {dependencies.tables.registration_table, parts->registration_follower,
          parts->registration_mirror},
         {peer_exchange::table, *parts->peer_follower, *parts->peer_mirror}},
        parts->configs);
    if (!peer_answers.ok()) {
        return peer_answers.status();
    }
    parts->peer_answers = *std::move(peer_answers);
    parts->set_limits({});
    parts->peers->set_table_changes([all = parts.get()] {
        return std::vector<store_position>{all->config_mirror.last_change(),
                                           all->registration_mirror.last_change(),
                                           all->peer_mirror->last_change()};
    });
    parts->peers->on_newer_table(
        [service = parts->peer_answers.get()] { service->fetch_missing(); });
    parts->state.links.set_peers(
        [peers = parts->peers.get()] { return peers->forwarding_peers(); });
    parts->state.links.on_change([all = parts.get()] { all->on_links_changed(); });
    parts->state.crashes.on_evidence([peers = parts->peers.get()] { peers->send_heartbeat(); });
    parts->feeds = std::make_unique<table_follow_policy>(
        parts->state, *parts->peers, parts->config_follower,
        std::vector{&parts->registration_follower, parts->peer_follower.get()});
    parts->lease = std::make_unique<duty_lease>(parts->state, parts->store, *parts->peers);
    parts->usage = std::make_unique<usage_reporter>(parts->state, parts->store, *parts->peers,
                                                    *parts->lease, dependencies.calls);
    parts->scaler = std::make_unique<server_scaler>(parts->state, *parts->peers, *parts->lease,
                                                    dependencies.calls);
    return std::unique_ptr<node>(new node(std::move(parts)));
}

node::node(std::unique_ptr<components> parts) : components_(std::move(parts)) {}

node::~node() {
    components_->state.refuses_calls = true; // Also those that follow on the same connections.
    const auto running = components_->state.running_calls;
    for (const auto& call : running) {
        call->abandon();
    }
}

void node::start() {
    serving_state& state = components_->state;
    state.log.write(node_started,
                    {{"failure_domain", state.settings.failure_domain.str()},
                     {"callers", state.settings.caller_endpoint.str()},
                     {"version", std::string(program_version())},
                     {"sources", std::string(source_identity())},
                     {"start", std::to_string(components_->peers->own_incarnation().value())}});
    components_->feeds->start();
    components_->config_follower.start();
    components_->registration_follower.start();
    components_->peers->start();
    components_->peer_follower->start();
    components_->peer_answers->start();
    state.links.start();
    const bool has_duties = state.settings.reports_usage || state.settings.orders_servers;
    if (has_duties) {
        components_->lease->start();
    }
    if (state.settings.reports_usage) {
        components_->usage->start();
    }
    if (state.settings.orders_servers) {
        components_->scaler->start();
    }
    components_->expiry = state.timers.every(expiry_period, expiry_period,
                                             [this] { components_->registrations.expire(); });
    components_->cleaning = state.timers.every(cleaning_period, cleaning_period, [this] {
        components_->state.prompts.expire(components_->state.time.now());
        components_->state.crashes.expire();
        if (components_->lease->is_held()) {
            components_->peers->remove_dead_rows();
        }
    });
}

void node::begin_stop() {
    serving_state& state = components_->state;
    if (std::exchange(state.stopping, true)) {
        return;
    }
    components_->stop_began = state.time.now();
    state.log.write(node_stopping, {{"running_calls", std::to_string(state.running_calls.size())}});
    components_->callers->begin_closing();
    components_->lease->release();
    components_->peers->leave();
    components_->stop_check = state.timers.every(stop_check_period, stop_check_period,
                                                 [this] { components_->check_stop(); });
}

void node::components::on_links_changed() {
    peers->send_heartbeat();
    if (!state.links.are_lost()) {
        return;
    }
    const auto running = state.running_calls;
    for (const auto& call : running) {
        call->on_links_lost();
    }
}

void node::components::abandon_calls() {
    const auto running = state.running_calls;
    state.log.write(calls_abandoned, {{"running_calls", std::to_string(running.size())}});
    for (const auto& call : running) {
        call->abandon();
    }
}

void node::components::check_stop() {
    const micros since = state.time.now() - stop_began;
    callers->close_idle(stopping_idle_timeout);
    if (since >= accept_time_after_stop) {
        callers->stop_accepting();
        state.refuses_calls = true;
    }
    if (!state.running_calls.empty() || callers->connections() > 0 ||
        peer_answers->forwarded_calls() > 0) {
        last_busy = since;
    }
    const bool all_answered = since >= accept_time_after_stop && since - last_busy >= flush_time;
    const auto grace = std::chrono::duration<double, std::micro>(state.settings.stop_grace_period);
    const bool is_grace_over = since >= grace * usable_grace_ratio;
    if (!all_answered && !is_grace_over) {
        return;
    }
    if (!state.running_calls.empty()) {
        state.refuses_calls = true;
        abandon_calls();
        return; // The next check ends the loop, once the last responses are sent.
    }
    peers->send_heartbeat(); // Includes the counts of the last calls.
    state.log.write(node_stopped, {{"running_calls", std::to_string(state.running_calls.size())}});
    state.loop.stop();
}

void node::reload() {
    components_->state.log.write(node_reloaded, {});
}

bool node::is_ready() const {
    return components_->state.is_ready();
}

std::vector<endpoint> node::caller_addresses(const failure_domain_id& caller_domain,
                                             std::size_t max_addresses) const {
    return select_for_directory(components_->peers->directory(), caller_domain, max_addresses);
}

millis node::directory_lifetime() const {
    return std::min(preferred_directory_lifetime, components_->state.settings.directory_lifetime);
}

std::string node::metrics_text() const {
    serving_state& state = components_->state;
    serving_metrics::snapshot now;
    now.config_version = state.config ? state.config->version() : 0;
    now.running_calls = state.running_calls.size();
    now.caller_connections = components_->callers->connections();
    now.servers = state.backends.all().size();
    now.live_peers = components_->peers->live_peers();
    now.holds_duties = components_->lease->is_held();
    now.config_away = components_->config_follower.is_store_unavailable();
    now.registry_away = components_->registration_follower.is_store_unavailable();
    now.follows_tables = components_->registration_follower.is_following();
    now.server_connections_made = state.client.connections_opened();
    now.quarantined_parts = state.crashes.quarantined_parts();
    now.limited_servers = state.limits.limited_servers();
    now.brittle_servers = state.brittle.count();
    now.cold_servers = state.cold.count();
    now.evacuated_domains = state.backends.evacuated().all().size();
    now.server_links_lost = state.links.are_lost();
    now.leaving_servers = state.backends.notices().count();
    now.buffered_bytes = state.loop.buffers().used();
    now.buffer_limit = state.loop.buffers().limit();
    now.buffer_refusals = state.loop.buffers().refusals();
    customer_shares& shares = state.admission.shares();
    now.customers_beyond_share = shares.customers_beyond_share(state.time.now());
    if (state.config) {
        for (const serving_service& service : state.config->services()) {
            now.pressure[service.id] = shares.pressure(service.id, state.time.now());
        }
    }
    now.era = components_->store.era().value_or(store_era());
    return state.metrics.text(now);
}

const endpoint& node::caller_endpoint() const {
    return components_->state.settings.caller_endpoint;
}

} // namespace jujubetide
