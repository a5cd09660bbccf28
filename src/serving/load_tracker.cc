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
}

} // namespace

void load_tracker::on_sent(const backend_server_id& id, std::uint64_t unread, std::uint64_t held) {
    add(own_[id], {1, unread, held});
}

void load_tracker::on_begun(const backend_server_id& id, std::uint64_t unread) {
    if (const auto found = own_.find(id); found != own_.end()) {
        subtract(found->second.prefill_tokens, unread);
    }
}

void load_tracker::on_ended(const backend_server_id& id, std::uint64_t unread, std::uint64_t held) {
    const auto found = own_.find(id);
    if (found == own_.end()) {
        return;
    }
    subtract(found->second.running, std::uint32_t{1});
    subtract(found->second.prefill_tokens, unread);
    subtract(found->second.held_tokens, held);
    if (found->second.running == 0) {
        own_.erase(found);
    }
}

void load_tracker::set_peer(const node_id& node, server_loads loads) {
    if (const auto before = peers_.find(node); before != peers_.end()) {
        for (const auto& [id, load] : before->second) {
            server_load& sum = peer_sums_[id];
            subtract(sum.running, load.running);
            subtract(sum.prefill_tokens, load.prefill_tokens);
            subtract(sum.held_tokens, load.held_tokens);
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
