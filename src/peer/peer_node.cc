#include "jujubetide/peer/peer_node.h"

#include "peer/peer_events.h"

#include <array>

namespace jujubetide {

class peer_node::link_sender final : public message_sender {
public:
    explicit link_sender(peer_link& link) : link_(link) {}

protected:
    void do_send(const endpoint& peer, peer_message_kind kind, std::string body) override {
        // A message that is lost is repaired by the next digest.
        link_.send(peer, kind, std::move(body)).IgnoreError();
    }

private:
    peer_link& link_;
};

peer_node::peer_node(peer_link& link, timer_service& timers, log_sink& log)
    : link_(link), timers_(timers), log_(log), sender_(std::make_unique<link_sender>(link)) {}

peer_node::~peer_node() = default;

absl::StatusOr<std::unique_ptr<peer_node>>
peer_node::make(const process_settings& settings, node_role role, const endpoint& public_address,
                blackboard& board, peer_link& link, timer_service& timers, const clock& time,
                random_source& random, const snapshot_builder& builder, log_sink& log) {
    if (settings.node.empty() || settings.failure_domain.empty() ||
        settings.peer_listen.port == 0) {
        return absl::InvalidArgumentError(
            "the node, its failure domain and its peer port must be known");
    }
    member self;
    self.node = settings.node;
    self.host = settings.host;
    self.failure_domain = settings.failure_domain;
    self.region = settings.region;
    self.role = role;
    self.peer_address = settings.peer_listen;
    self.public_address = public_address;
    self.at = incarnation(static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
    std::unique_ptr<peer_node> made(new peer_node(link, timers, log));
    made->membership_ = std::make_unique<membership_node>(
        self, settings.seeds,
        membership_node::dependencies{board, *made->sender_, time, random, builder, log});
    return made;
}

void peer_node::start() {
    constexpr std::array kinds{peer_message_kind::heartbeat, peer_message_kind::facts,
                               peer_message_kind::loads, peer_message_kind::digest,
                               peer_message_kind::settings_fetch};
    for (const peer_message_kind kind : kinds) {
        link_.set_handler(kind, [this](const peer_message& message) -> absl::StatusOr<std::string> {
            const absl::Status status = membership_->on_message(message);
            if (!status.ok()) {
                return status;
            }
            return std::string();
        });
    }
    log_.write(peer_events::membership_started, {{"node", membership_->self().str()}});
    tick_ =
        timers_.every(membership_node::tick_period, micros{0}, [this] { membership_->on_tick(); });
}

bool peer_node::settings_ready() {
    const bool ready = membership_->settings_ready();
    if (ready && !ready_logged_.exchange(true)) {
        log_.write(peer_events::settings_taken_from_peers, {});
    }
    return ready;
}

} // namespace jujubetide
