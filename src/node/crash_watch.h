#pragma once

#include "jujubetide/base/units.h"
#include "jujubetide/net/connect_check.h"
#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/prompt_quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace jujubetide {

struct serving_state;

/// Finds out which servers crash under calls, and keeps calls that crash servers from being sent.
/// Must not be destroyed from one of its handlers.
class crash_watch {
public:
    /// A server that accepts no connection for this long after it broke one off has crashed.
    static constexpr micros connect_timeout{100'000};

    /// `state` must outlive this object.
    explicit crash_watch(serving_state& state);

    /// The connection to `server` broke before it began to answer a call. Calls `done` once it is
    /// known whether the server has crashed.
    void on_broken(const backend_server& server, crash_suspects suspects,
                   std::function<void()> done);
    void on_answered(const crash_suspects& suspects);
    /// The time after which the caller may try again, if the call must not be sent.
    [[nodiscard]] std::optional<micros> refusal(const crash_suspects& suspects);
    /// Whether there is evidence against anything.
    [[nodiscard]] bool has_evidence() const { return quarantine_.has_records(); }
    /// Whether the call may crash a second server.
    [[nodiscard]] bool is_suspected(const crash_suspects& suspects) const {
        return blocks_calls() || quarantine_.is_suspected(suspects);
    }
    [[nodiscard]] bool blocks_calls() const { return !quarantine_.quarantined().empty(); }

    [[nodiscard]] std::vector<prompt_suspicion> suspicions() const;
    void on_peer_suspicions(std::span<const prompt_suspicion> suspicions);
    /// The handler is called when the node has evidence that its peers should know at once.
    void on_evidence(std::function<void()> handler) { on_evidence_ = std::move(handler); }
    void expire();
    [[nodiscard]] std::size_t quarantined_parts() const { return quarantine_.quarantined().size(); }

private:
    struct waiting_call {
        crash_suspects suspects;
        std::function<void()> done;
    };
    struct running_check {
        backend_server_id server;
        std::unique_ptr<connect_check> check;
        std::vector<waiting_call> calls;
    };

    void on_checked(const server_run_id& run, bool is_reachable);
    /// Counts the calls as crash evidence if `is_crash`, and continues them.
    void finish_check(const server_run_id& run, const std::vector<waiting_call>& calls,
                      bool is_crash);
    /// Logs what changed in the quarantine, and stops running calls that are blocked now.
    void apply_changes();

    serving_state& state_;
    prompt_quarantine quarantine_;
    std::map<server_run_id, running_check> checks_;
    std::vector<std::unique_ptr<connect_check>> finished_checks_;
    std::function<void()> on_evidence_;
};

} // namespace jujubetide
