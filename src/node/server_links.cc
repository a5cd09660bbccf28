#include "node/server_links.h"

#include "node/node_events.h"
#include "node/serving_state.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr micros check_period{100'000};

} // namespace

void server_links::start() {
    timer_ = state_.timers.every(check_period, check_period, [this] { check(); });
}

void server_links::on_attempt_begun() {
    if (running_attempts_++ == 0) {
        last_progress_ = state_.time.now();
    }
}

void server_links::on_attempt_ended() {
    --running_attempts_;
}

void server_links::on_bytes() {
    last_progress_ = state_.time.now();
}

void server_links::on_peer_unreachable(const node_id& peer) {
    paused_peer_ = forwarding_peer{peer, {}};
    peer_paused_until_ = state_.time.now() + peer_pause;
}

bool server_links::carry_answers() const {
    return state_.time.now() - last_progress_ < stall_limit;
}

std::optional<forwarding_peer> server_links::choose_peer() const {
    std::vector<forwarding_peer> peers = peers_ ? peers_() : std::vector<forwarding_peer>();
    if (peers.size() > 1 && paused_peer_ && state_.time.now() < peer_paused_until_) {
        std::erase_if(peers, [this](const auto& peer) { return peer.node == paused_peer_->node; });
    }
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[state_.random.below(peers.size())];
}

void server_links::check() {
    const time_point now = state_.time.now();
    if (probe_ || now < next_series_) {
        return;
    }
    const bool is_stalled = running_attempts_ > 0 && now - last_progress_ >= stall_limit;
    if (are_lost_ || has_failed_connect_ || is_stalled) {
        begin_probes();
    }
}

void server_links::check_others(const backend_server_id& suspect, std::function<void(bool)> done) {
    if (are_lost_) {
        done(false);
        return;
    }
    if (!probe_) {
        begin_probes(suspect);
    }
    if (!probe_) {
        done(true);
        return;
    }
    waiting_.push_back(std::move(done));
}

void server_links::begin_probes(const backend_server_id& excluded) {
    has_failed_connect_ = false;
    next_series_ = state_.time.now() + probe_interval;
    to_probe_.clear();
    for (const auto& [id, entry] : state_.backends.all()) {
        if (id != excluded && !entry.is_leaving() && !entry.lapsed_at) {
            to_probe_.push_back(entry.server.address);
        }
    }
    if (to_probe_.empty()) {
        return; // Nothing to learn.
    }
    std::shuffle(to_probe_.begin(), to_probe_.end(), state_.random);
    to_probe_.resize(std::min(to_probe_.size(), max_probes));
    probe_next();
}

void server_links::probe_next() {
    const endpoint server = to_probe_.back();
    to_probe_.pop_back();
    probe_ = connect_check::start(state_.loop, server, probe_timeout,
                                  [this](bool is_reached) { on_probed(is_reached); });
}

void server_links::on_probed(bool is_reached) {
    // Destroyed at the end: its handler is running.
    const std::unique_ptr<connect_check> finished = std::move(probe_);
    if (!is_reached && !to_probe_.empty()) {
        probe_next();
        return;
    }
    if (is_reached && !are_lost_) {
        last_progress_ = state_.time.now();
    }
    set_lost(!is_reached);
    for (const auto& done : std::exchange(waiting_, {})) {
        done(is_reached);
    }
}

void server_links::set_lost(bool are_lost) {
    if (std::exchange(are_lost_, are_lost) == are_lost) {
        return;
    }
    state_.log.write(are_lost ? server_links_lost : server_links_restored,
                     {{"running_attempts", std::to_string(running_attempts_)}});
    // Failures to connect were the links', not the servers'.
    state_.health.forget_unreachable();
    if (on_change_) {
        on_change_();
    }
}

} // namespace jujubetide
