#pragma once

#include "jujubetide/peer/peer_link.h"

#include <map>
#include <mutex>

namespace jujubetide {

/// Calls between peers of one process, by address. Thread-safe.
class peer_hub {
public:
    void set(const endpoint& peer, peer_message_kind kind, peer_link::handler function) {
        const std::lock_guard lock(mutex_);
        handlers_[{peer, kind}] = std::move(function);
    }
    absl::StatusOr<std::string> call(const endpoint& peer, const peer_message& message) {
        peer_link::handler function;
        {
            const std::lock_guard lock(mutex_);
            const auto found = handlers_.find({peer, message.kind});
            if (found == handlers_.end()) {
                return absl::UnavailableError("no such peer");
            }
            function = found->second;
        }
        return function(message);
    }

private:
    std::mutex mutex_;
    std::map<std::pair<endpoint, peer_message_kind>, peer_link::handler> handlers_;
};

/// One peer's link to the hub. The next replies of `lose_replies` calls are lost after delivery.
class direct_peers final : public peer_link {
public:
    direct_peers(peer_hub& hub, endpoint self) : hub_(hub), self_(std::move(self)) {}
    void lose_replies(int count) { lost_replies_ = count; }

protected:
    absl::Status do_send(const endpoint& peer, peer_message_kind kind, std::string body) override {
        return hub_.call(peer, {node_id(self_.str()), kind, std::move(body)}).status();
    }
    absl::StatusOr<std::string> do_call(const endpoint& peer, peer_message_kind kind,
                                        std::string body, millis /*timeout*/) override {
        auto answer = hub_.call(peer, {node_id(self_.str()), kind, std::move(body)});
        if (answer.ok() && lost_replies_ > 0) {
            --lost_replies_;
            return absl::DeadlineExceededError("reply lost");
        }
        return answer;
    }
    void do_set_handler(peer_message_kind kind, handler function) override {
        hub_.set(self_, kind, std::move(function));
    }
    /// Calls have no bytes here; the counts are always these.
    [[nodiscard]] std::vector<peer_traffic> do_traffic() const override {
        return {{peer_message_kind::heartbeat, 120, 340, 3, 4}};
    }

private:
    peer_hub& hub_;
    endpoint self_;
    std::atomic<int> lost_replies_{0};
};

} // namespace jujubetide
