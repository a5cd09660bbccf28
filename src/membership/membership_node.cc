#include "jujubetide/membership/membership_node.h"

#include "membership/membership_events.h"
#include "membership/membership_state.h"

namespace jujubetide {
namespace {

void send_all(const membership_effects& effects, message_sender& sender) {
    for (const outgoing_message& message : effects.messages) {
        sender.send(message.to, message.kind, message.body);
    }
}

} // namespace

membership_node::membership_node(const member& self, std::vector<endpoint> seeds,
                                 const dependencies& with, const membership_config& config)
    : state_(std::make_unique<state>(self, std::move(seeds), with, config)) {}

membership_node::~membership_node() = default;

absl::Status membership_node::on_message(const peer_message& message) {
    membership_effects effects;
    absl::Status status = state_->on_message(message, effects);
    const dependencies& with = state_->with();
    if (!status.ok()) {
        with.log.write(membership_events::malformed_message,
                       {{"from", message.from.str()}, {"reason", std::string(status.message())}});
    }
    send_all(effects, with.sender);
    if (effects.fetched) {
        findings found;
        const snapshot_ptr snapshot =
            with.builder.build(effects.fetched->documents, effects.fetched->at, found);
        if (snapshot == nullptr) {
            with.log.write(membership_events::settings_refused,
                           {{"from", message.from.str()}, {"reason", found.format()}});
            state_->on_refused(effects.fetched->at);
            return status;
        }
        with.log.write(
            membership_events::settings_fetched,
            {{"from", message.from.str()}, {"revision", std::to_string(snapshot->at().value())}});
        do_settings(snapshot);
    }
    return status;
}

void membership_node::on_tick() {
    membership_effects effects;
    state_->on_tick(effects);
    send_all(effects, state_->with().sender);
}

node_id membership_node::self() const {
    return state_->self();
}

std::vector<node_id> membership_node::neighbours() const {
    return state_->neighbours();
}

bool membership_node::settings_ready() {
    return state_->settings_ready();
}

std::vector<backend_server_id> membership_node::watched_servers() const {
    return state_->watched_servers();
}

void membership_node::report_load(const backend_server_id& id, const load_report& load) {
    state_->report_load(id, load);
}

void membership_node::set_own_demand(const std::vector<customer_demand>& demand) {
    state_->set_own_demand(demand);
}

std::vector<customer_demand> membership_node::demand_of_others() const {
    return state_->demand_of_others();
}

void membership_node::do_leaving_host(const host_id& host) {
    membership_effects effects;
    state_->publish_host(host, effects);
    send_all(effects, state_->with().sender);
}

void membership_node::do_move(const version_move& record) {
    membership_effects effects;
    state_->publish_move(record, effects);
    send_all(effects, state_->with().sender);
}

void membership_node::do_settings(const snapshot_ptr& snapshot) {
    state_->with().board.settings.offer(snapshot);
    membership_effects effects;
    state_->publish_settings(effects);
    send_all(effects, state_->with().sender);
}

void membership_node::do_leaving_self() {
    membership_effects effects;
    state_->publish_leaving_self(effects);
    send_all(effects, state_->with().sender);
}

} // namespace jujubetide
