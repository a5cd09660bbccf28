#include "jujubetide/node/node.h"

#include "node/caller_request_handler.h"
#include "node/counted_row_store.h"
#include "node/duty_lease.h"
#include "node/node_events.h"
#include "node/peer_exchange.h"
#include "node/peer_service.h"
#include "node/proxied_call.h"
#include "node/row_mirror.h"
#include "node/server_scaler.h"
#include "node/serving_state.h"
#include "node/store_feeds.h"
#include "node/table_watches.h"
#include "node/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr micros expiry_period{200'000};
/// How often a stopping node looks whether all is answered.
constexpr micros stop_check_period{100'000};
/// Callers that still hold this node's address may connect for this long after a stop began.
constexpr micros accept_after_stop{2'500'000};
/// A stopping node closes connections without a request for this long; a new one's first request
/// may be on its way.
constexpr micros idle_while_stopping{1'000'000};
/// Time for the last answers to leave the host.
constexpr micros send_time{300'000};
/// Part of the grace time after which a stopping node ends whatever still runs.
constexpr double usable_grace = 0.94;
/// How long callers may keep a list of nodes, where the platform allows longer.
constexpr millis preferred_directory_lifetime{2'000};
/// Descriptors that are left for everything but callers.
constexpr std::size_t reserved_descriptors = 800;

/// How often rows of dead nodes are looked for, and old readings of prompts are let go.
constexpr micros cleaning_period{5'000'000};

/// Rows of servers and nodes change often; the configuration's must arrive at once.
constexpr micros shared_table_interval{250'000};

http1_limits limits_of(const caller_limits& from, std::size_t max_descriptors) {
    http1_limits limits;
    limits.max_head_bytes = from.max_header_bytes;
    limits.max_body_bytes = from.max_body_bytes;
    limits.head_timeout = from.header_timeout;
    limits.idle_timeout = from.idle_timeout;
    limits.max_connections = max_descriptors > 2 * reserved_descriptors
                                 ? max_descriptors - reserved_descriptors
                                 : max_descriptors / 2;
    return limits;
}

follower_options shared_table_options() {
    follower_options options;
    options.least_interval = shared_table_interval;
    return options;
}

incarnation start_number(const clock& time) {
    return incarnation(static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
}

} // namespace

struct node::parts_of_node {
    parts_of_node(const node_settings& settings, const node_dependencies& from)
        : state(settings, from.loop, from.loop, from.time, from.log, from.random, from.codec),
          store(from.store, state.metrics),
          configs(state, from.decoder, from.tables, [this] { on_config(); }),
          registrations(state, from.decoder, from.tables),
          config_follower(store, from.loop, from.time, from.random, from.tables.config_table,
                          config_mirror),
          registration_follower(store, from.loop, from.time, from.random,
                                from.tables.registration_table, registration_mirror,
                                shared_table_options()) {}

    void on_config() {
        callers->set_limits(limits_of(state.config->limits(), state.settings.max_descriptors));
    }
    void check_stop();

    serving_state state;
    counted_row_store store;
    caller_request_handler front{state};
    std::unique_ptr<http1_server> callers;
    config_watch configs;
    registration_watch registrations;
    row_mirror config_mirror{configs};
    row_mirror registration_mirror{registrations};
    table_follower config_follower;
    table_follower registration_follower;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<row_mirror> peer_mirror;
    std::unique_ptr<table_follower> peer_follower;
    std::unique_ptr<store_feeds> feeds;
    std::unique_ptr<peer_service> peer_answers;
    std::unique_ptr<duty_lease> lease;
    std::unique_ptr<usage_reporter> usage;
    std::unique_ptr<server_scaler> scaler;
    std::unique_ptr<timer_subscription> expiry;
    std::unique_ptr<timer_subscription> cleaning;
    std::unique_ptr<timer_subscription> stop_check;
    time_point stop_began{};
    /// How long after the stop began the last call had no final answer.
    micros idle_since{0};
};

absl::StatusOr<std::unique_ptr<node>> node::make(const node_settings& settings,
                                                 const node_dependencies& from) {
    auto parts = std::make_unique<parts_of_node>(settings, from);
    auto callers = http1_server::make(from.loop, from.time, settings.caller_endpoint, parts->front);
    if (!callers.ok()) {
        return callers.status();
    }
    parts->callers = *std::move(callers);
    parts->state.settings.caller_endpoint = parts->callers->address();
    auto peers = peer_exchange::make(parts->state, parts->store, start_number(from.time));
    if (!peers.ok()) {
        return peers.status();
    }
    parts->peers = *std::move(peers);
    parts->peer_mirror = std::make_unique<row_mirror>(*parts->peers);
    parts->peer_follower = std::make_unique<table_follower>(
        parts->store, from.loop, from.time, from.random, peer_exchange::table, *parts->peer_mirror,
        shared_table_options());
    auto peer_answers = peer_service::make(
        parts->state, *parts->peers,
        {{from.tables.config_table, parts->config_follower, parts->config_mirror},
         {from.tables.registration_table, parts->registration_follower, parts->registration_mirror},
         {peer_exchange::table, *parts->peer_follower, *parts->peer_mirror}});
    if (!peer_answers.ok()) {
        return peer_answers.status();
    }
    parts->peer_answers = *std::move(peer_answers);
    parts->peers->set_table_versions([all = parts.get()] {
        return std::vector<row_version>{all->config_mirror.changed_at(),
                                        all->registration_mirror.changed_at(),
                                        all->peer_mirror->changed_at()};
    });
    parts->peers->on_newer_told([service = parts->peer_answers.get()] { service->look(); });
    parts->feeds = std::make_unique<store_feeds>(
        parts->state, *parts->peers, parts->config_follower,
        std::vector{&parts->registration_follower, parts->peer_follower.get()});
    parts->lease = std::make_unique<duty_lease>(parts->state, parts->store, *parts->peers);
    parts->usage = std::make_unique<usage_reporter>(parts->state, parts->store, *parts->peers,
                                                    *parts->lease, from.calls);
    parts->scaler =
        std::make_unique<server_scaler>(parts->state, *parts->peers, *parts->lease, from.calls);
    return std::unique_ptr<node>(new node(std::move(parts)));
}

node::node(std::unique_ptr<parts_of_node> parts) : parts_(std::move(parts)) {}

node::~node() {
    const auto running = parts_->state.calls;
    for (const auto& call : running) {
        call->abandon();
    }
}

void node::start() {
    serving_state& state = parts_->state;
    state.log.write(node_started,
                    {{"failure_domain", state.settings.failure_domain.str()},
                     {"callers", state.settings.caller_endpoint.str()},
                     {"start", std::to_string(parts_->peers->start_number().value())}});
    parts_->feeds->start();
    parts_->config_follower.start();
    parts_->registration_follower.start();
    parts_->peers->start();
    parts_->peer_follower->start();
    parts_->peer_answers->start();
    const bool has_duties = state.settings.reports_usage || state.settings.orders_servers;
    if (has_duties) {
        parts_->lease->start();
    }
    if (state.settings.reports_usage) {
        parts_->usage->start();
    }
    if (state.settings.orders_servers) {
        parts_->scaler->start();
    }
    parts_->expiry = state.timers.every(expiry_period, expiry_period,
                                        [this] { parts_->registrations.expire(); });
    parts_->cleaning = state.timers.every(cleaning_period, cleaning_period, [this] {
        parts_->state.prompts.expire(parts_->state.time.now());
        if (parts_->lease->held()) {
            parts_->peers->remove_dead_rows();
        }
    });
}

void node::begin_stop() {
    serving_state& state = parts_->state;
    if (std::exchange(state.stopping, true)) {
        return;
    }
    parts_->stop_began = state.time.now();
    state.log.write(node_stopping, {{"running_calls", std::to_string(state.calls.size())}});
    parts_->callers->begin_closing();
    parts_->lease->release();
    parts_->peers->leave();
    parts_->stop_check =
        state.timers.every(stop_check_period, stop_check_period, [this] { parts_->check_stop(); });
}

void node::parts_of_node::check_stop() {
    const micros since = state.time.now() - stop_began;
    callers->close_idle(idle_while_stopping);
    if (since >= accept_after_stop) {
        callers->stop_accepting();
    }
    if (!state.calls.empty()) {
        idle_since = since;
    }
    const bool all_answered = since >= accept_after_stop && since - idle_since >= send_time;
    const auto grace = std::chrono::duration<double, std::micro>(state.settings.stop_grace_period);
    if (!all_answered && since < grace * usable_grace) {
        return;
    }
    peers->tell(); // The counts of the last calls.
    state.log.write(node_stopped, {{"running_calls", std::to_string(state.calls.size())}});
    state.loop.stop();
}

void node::reload() {
    parts_->state.log.write(node_reloaded, {});
}

bool node::is_ready() const {
    return parts_->state.is_ready();
}

std::vector<endpoint> node::caller_addresses(const failure_domain_id& asker,
                                             std::size_t max) const {
    return select_for_directory(parts_->peers->directory(), asker, max);
}

millis node::directory_lifetime() const {
    return std::min(preferred_directory_lifetime, parts_->state.settings.directory_lifetime);
}

std::string node::metrics_text() const {
    serving_state& state = parts_->state;
    serving_metrics::snapshot now;
    now.config_version = state.config ? state.config->version() : 0;
    now.running_calls = state.calls.size();
    now.caller_connections = parts_->callers->connections();
    now.servers = state.backends.all().size();
    now.live_peers = parts_->peers->live_peers();
    now.holds_duties = parts_->lease->held();
    now.config_away = parts_->config_follower.is_away();
    now.registry_away = parts_->registration_follower.is_away();
    now.follows_tables = parts_->registration_follower.is_following();
    now.server_connections_made = state.client.connections_made();
    return state.metrics.text(now);
}

const endpoint& node::caller_endpoint() const {
    return parts_->state.settings.caller_endpoint;
}

} // namespace jujubetide
