#include "jujubetide/serving/load_tracker.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

template <class Number>
void subtract(Number& value, Number amount) {
    value -= std::min(value, amount);
}

void add(server_load& sum, const server_load& load) {
    sum.running += load.running;
    sum.prefill_tokens += load.prefill_tokens;
    sum.held_tokens += load.held_tokens;
    for (std::size_t level = 1; level < urgency_level::count; ++level) {
        sum.less_urgent[level] += load.less_urgent[level];
    }
}

void subtract(server_load& sum, const server_load& load) {
    subtract(sum.running, load.running);
    subtract(sum.prefill_tokens, load.prefill_tokens);
    subtract(sum.held_tokens, load.held_tokens);
    for (std::size_t level = 1; level < urgency_level::count; ++level) {
        subtract(sum.less_urgent[level], load.less_urgent[level]);
    }
}

server_load make_load(std::uint32_t running, std::uint64_t unread, std::uint64_t held,
                      urgency_level urgency) {
    server_load load;
    load.running = running;
    load.prefill_tokens = unread;
    load.held_tokens = held;
    if (urgency != urgency_level()) {
        load.less_urgent[urgency.value()] = running;
    }
    return load;
}

/// The calls that are less urgent than `urgency`.
std::uint32_t calls_below(const server_load& load, urgency_level urgency) {
    std::uint32_t sum = 0;
    for (std::size_t level = urgency.value() + 1; level < urgency_level::count; ++level) {
        sum += load.less_urgent[level];
    }
    return std::min(sum, load.running); // Peers' reports may contradict each other for a moment.
}

} // namespace

std::uint32_t server_load::calls_ahead(urgency_level urgency, std::size_t slots) const {
    if (running < slots) {
        return 0;
    }
    const auto queued = running - static_cast<std::uint32_t>(slots);
    return queued - std::min(queued, calls_below(*this, urgency)) + 1;
}

void load_tracker::on_sent(const backend_server_id& id, std::uint64_t unread, std::uint64_t held,
                           urgency_level urgency) {
    add(own_[id], make_load(1, unread, held, urgency));
}

void load_tracker::on_begun(const backend_server_id& id, std::uint64_t unread) {
    if (const auto found = own_.find(id); found != own_.end()) {
        subtract(found->second.prefill_tokens, unread);
    }
}

void load_tracker::on_ended(const backend_server_id& id, std::uint64_t unread, std::uint64_t held,
                            urgency_level urgency) {
    const auto found = own_.find(id);
    if (found == own_.end()) {
        return;
    }
    subtract(found->second, make_load(1, unread, held, urgency));
    if (found->second.running == 0) {
        own_.erase(found);
    }
}

void load_tracker::set_peer(const node_id& node, server_loads loads) {
    if (const auto before = peers_.find(node); before != peers_.end()) {
        for (const auto& [id, load] : before->second) {
            server_load& sum = peer_sums_[id];
            subtract(sum, load);
            if (sum == server_load{}) {
                peer_sums_.erase(id);
            }
        }
        peers_.erase(before);
    }
    if (loads.empty()) {
        return;
    }
    for (const auto& [id, load] : loads) {
        add(peer_sums_[id], load);
    }
    peers_[node] = std::move(loads);
}

server_load load_tracker::total(const backend_server_id& id) const {
    server_load sum;
    if (const auto own = own_.find(id); own != own_.end()) {
        sum = own->second;
    }
    if (const auto peers = peer_sums_.find(id); peers != peer_sums_.end()) {
        add(sum, peers->second);
    }
    return sum;
}

} // namespace jujubetide
