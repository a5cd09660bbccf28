#include "peer/node_metrics.h"

#include "jujubetide/edge/build_info.h"
#include "jujubetide/edge/shared_memory_budget.h"

#include <algorithm>
#include <string>

namespace jujubetide {
namespace {

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const std::string& name, const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauges(prometheus::Registry& registry,
                                              const std::string& name, const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

std::string name_of(peer_message_kind kind) {
    switch (kind) {
    case peer_message_kind::heartbeat:
        return "heartbeat";
    case peer_message_kind::facts:
        return "facts";
    case peer_message_kind::loads:
        return "loads";
    case peer_message_kind::digest:
        return "digest";
    case peer_message_kind::settings_fetch:
        return "settings_fetch";
    case peer_message_kind::handover:
        return "handover";
    case peer_message_kind::cache_events:
        return "cache_events";
    case peer_message_kind::demand:
        return "demand";
    case peer_message_kind::request_lookup:
        return "request_lookup";
    case peer_message_kind::move_evidence:
        return "move_evidence";
    case peer_message_kind::request_rate:
        return "request_rate";
    }
    return "unknown";
}

/// Raises a counter to the total that a link has counted.
void raise(prometheus::Family<prometheus::Counter>& family, const std::string& kind,
           const char* direction, std::uint64_t total) {
    prometheus::Counter& counter = family.Add({{"kind", kind}, {"direction", direction}});
    const double missing = static_cast<double>(total) - counter.Value();
    if (missing > 0.0) {
        counter.Increment(missing);
    }
}

/// The share of a service's traffic that a version move gives its new version.
double new_version_share(const version_move& move) {
    switch (move.state) {
    case move_state::canary:
    case move_state::ramp:
        return move.share;
    case move_state::done:
        return 1.0;
    case move_state::planned:
    case move_state::taken_back:
        break;
    }
    return 0.0;
}

} // namespace

node_metrics::node_metrics(prometheus::Registry& registry)
    : bytes_(counters(registry, "jujubetide_control_bytes_total",
                      "Bytes between the system's processes by kind of message and direction.")),
      messages_(counters(registry, "jujubetide_control_messages_total",
                         "Messages between the system's processes by kind and direction.")),
      shares_(gauges(registry, "jujubetide_version_share",
                     "Share of a service's traffic that each of its versions is to get.")),
      revision_(gauges(registry, "jujubetide_settings_revision",
                       "Revision of the settings in force at this process.")
                    .Add({})),
      members_(
          gauges(registry, "jujubetide_members", "Nodes that are not known to be dead.").Add({})),
      buffered_bytes_(gauges(registry, "jujubetide_buffered_bytes",
                             "Bytes of requests and answers that the process buffers.")
                          .Add({})),
      buffer_limit_(gauges(registry, "jujubetide_buffer_limit_bytes",
                           "Most bytes that the process may buffer.")
                        .Add({})),
      buffer_refusals_(gauges(registry, "jujubetide_buffer_refusals",
                              "Requests and answers that there was no memory for.")
                           .Add({})) {
    add_build_info(registry);
}

void node_metrics::update(const blackboard& boards, const std::vector<peer_traffic>& traffic) {
    const std::lock_guard lock(mutex_);
    const snapshot_ptr settings = boards.settings.current();
    revision_.Set(settings ? static_cast<double>(settings->at().value()) : 0.0);
    const std::vector<member> members = boards.members.all();
    members_.Set(
        static_cast<double>(std::count_if(members.begin(), members.end(), [](const member& one) {
            return one.health != member_health::dead;
        })));
    const shared_memory_budget& buffers = shared_memory_budget::of_process();
    buffered_bytes_.Set(static_cast<double>(buffers.used()));
    buffer_limit_.Set(static_cast<double>(buffers.limit()));
    buffer_refusals_.Set(static_cast<double>(buffers.refusals()));
    update_shares(boards);
    update_traffic(traffic);
}

void node_metrics::update_shares(const blackboard& boards) {
    // A version that no longer gets traffic shows 0 rather than its last share.
    for (const auto& [key, gauge] : shown_shares_) {
        gauge->Set(0.0);
    }
    const snapshot_ptr settings = boards.settings.current();
    if (!settings) {
        return;
    }
    for (const service_settings& service : settings->services()) {
        const auto move = boards.moves.of_service(service.id);
        const bool moves = move && move->from == service.version;
        const double moved = moves ? new_version_share(*move) : 0.0;
        set_share(service.id, service.version, 1.0 - moved);
        if (moves) {
            set_share(service.id, move->to, moved);
        }
    }
}

void node_metrics::set_share(const service_id& service, const version_id& version, double share) {
    prometheus::Gauge& gauge =
        shares_.Add({{"service", service.str()}, {"version", version.str()}});
    gauge.Set(share);
    shown_shares_[{service, version}] = &gauge;
}

void node_metrics::update_traffic(const std::vector<peer_traffic>& traffic) {
    // Kinds that this version does not know share one name.
    std::map<std::string, peer_traffic> by_name;
    for (const peer_traffic& one : traffic) {
        peer_traffic& sum = by_name[name_of(one.kind)];
        sum.bytes_sent += one.bytes_sent;
        sum.bytes_received += one.bytes_received;
        sum.messages_sent += one.messages_sent;
        sum.messages_received += one.messages_received;
    }
    for (const auto& [kind, sum] : by_name) {
        raise(bytes_, kind, "out", sum.bytes_sent);
        raise(bytes_, kind, "in", sum.bytes_received);
        raise(messages_, kind, "out", sum.messages_sent);
        raise(messages_, kind, "in", sum.messages_received);
    }
}

} // namespace jujubetide
