#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jujubetide {

/// What a node knows of a server that said in an answer that it leaves, for the node's peers.
struct leaving_report {
    backend_server_id server;
    /// Start time of the run that leaves, in Unix milliseconds; 0 if it reported none.
    std::int64_t started_at_ms = 0;
    /// Time since the last such answer.
    micros age{0};
};

/// Servers that said in their answers that they leave. A notice in an answer to this node holds for
/// as long as that run of the server is registered, and `lifetime` beyond; one that a peer tells of
/// only for `peer_lifetime`. A later run under the same id is not concerned. Not thread-safe.
class leaving_notices {
public:
    /// How long a server that is not registered any more is remembered: a late or older
    /// registration may name it again.
    static constexpr micros lifetime{600'000'000};
    /// How long a peer's word holds after the answer that it tells of.
    static constexpr micros peer_lifetime{10'000'000};
    /// How long peers are told of an answer. Several heartbeats, as datagrams can get lost.
    static constexpr micros report_time{3'000'000};

    /// An answer of the server's run said that it leaves. Returns whether that was not known.
    bool on_answer(const backend_server_id& server, std::int64_t started_at_ms, time_point now);
    /// Returns the servers that were not known to leave.
    std::vector<backend_server_id> on_peer_reports(const std::vector<leaving_report>& reports,
                                                   time_point now);
    /// The server's run is registered: ends the notice of an earlier run.
    void on_registered(const backend_server_id& server, std::int64_t started_at_ms);
    /// The server is registered still.
    void on_listed(const backend_server_id& server, time_point now);
    /// A registration that is newer than the peers' word says that the server does not leave.
    void on_registered_anew(const backend_server_id& server);
    /// Drops old notices, and returns the servers whose notices from peers have ended.
    std::vector<backend_server_id> expire(time_point now);

    [[nodiscard]] bool is_leaving(const backend_server_id& server) const;
    [[nodiscard]] std::size_t count() const { return notices_.size(); }
    /// What peers should know.
    [[nodiscard]] std::vector<leaving_report> reports(time_point now) const;

private:
    struct notice {
        std::int64_t started_at_ms = 0;
        /// Whether an answer to this node had it.
        bool is_own = false;
        time_point answered_at{};
        time_point last_listed{};
    };

    std::map<backend_server_id, notice> notices_;
};

} // namespace jujubetide
