#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace jujubetide {

/// What a node last read of a server's limit, for its peers.
struct server_limit_report {
    backend_server_id server;
    /// Calls per second from all nodes together; absent if the server names no limit any more.
    std::optional<double> calls_per_second;
    /// Time since the node read it.
    micros age{0};
};

/// A bound on the calls of all nodes together in any second.
struct call_bound {
    /// The calls that the server stands for long.
    double calls_per_second = 0.0;
    /// No second may see more.
    double max_in_second = 0.0;

    friend bool operator==(const call_bound&, const call_bound&) = default;
};

/// Keeps the calls of all nodes to a server within the limit that the server names in its answers,
/// and within a bound that this node sets; the lower one counts. No message per call is needed.
/// Time is divided into slots in which the limit allows one call (or a few, at high limits); each
/// slot belongs to one node, which all nodes compute alike, or is divided among them where the
/// limit allows each of them several calls. A node may use a slot for `slot_lifetime`. Nodes whose
/// clocks or peers differ for a moment exceed the limit by no more than the slots that they
/// disagree about; under a bound, slots are used for a shorter time, so that calls that nodes
/// disagree about fit into it too. Not thread-safe.
class server_limits {
public:
    /// Limits below this are treated as this: an answer must come back for the limit to end.
    static constexpr double min_calls_per_second = 0.1;
    /// How long a node may use its slot; a longer slot until its end.
    static constexpr micros slot_lifetime{1'000'000};
    /// Slots are at least this long; those of a bound, at least `min_bound_slot_length`.
    static constexpr micros min_slot_length{100'000};
    static constexpr micros min_bound_slot_length{10'000};
    /// Under a bound too, a node may use its slot for this long.
    static constexpr micros min_slot_lifetime{200'000};
    /// Peers are told what this node read for this long: two heartbeats or more.
    static constexpr micros report_time{700'000};
    /// Change of a limit, as a fraction of it, below which the slots stay as they are.
    static constexpr double min_change = 0.1;
    /// Part of a bound that nodes use while they agree on the time and on each other.
    static constexpr double usable_bound = 0.6;

    /// Sets the nodes that share every limit. Nodes that are silent but may still send count.
    /// Before the first time, nothing is sent to servers with a bound.
    void set_nodes(const node_id& own, const std::vector<node_id>& others);

    /// A server's answer named a limit, or none. Returns whether that is news.
    bool on_answer(const backend_server_id& server, std::optional<double> calls_per_second,
                   time_point now);
    /// Sets or ends a bound besides the limit that the server names.
    void set_bound(const backend_server_id& server, std::optional<call_bound> bound);
    void on_sent(const backend_server_id& server, wall_time wall_now);
    /// The server restarted or is gone.
    void forget(const backend_server_id& server) { limits_.erase(server); }

    /// Whether this node may send a call to the server now.
    [[nodiscard]] bool may_send(const backend_server_id& server, wall_time wall_now);
    /// Time in which the lower limit allows one call of all nodes together; 0 without a limit.
    [[nodiscard]] micros call_interval(const backend_server_id& server) const;
    /// The limit that the server names now.
    [[nodiscard]] std::optional<double> limit_of(const backend_server_id& server) const;
    /// Servers that name a limit now.
    [[nodiscard]] std::size_t limited_servers() const;

    [[nodiscard]] std::vector<server_limit_report> reports(time_point now) const;
    void on_peer_reports(const std::vector<server_limit_report>& reports, time_point now);

private:
    struct owned_slot {
        std::int64_t number = 0;
        double calls = 0.0;
    };
    struct slot_plan {
        double calls_per_second = 0.0;
        micros length{0};
        /// Slots that a node may use at a time: the current one and those before it.
        std::int64_t usable = 0;

        friend bool operator==(const slot_plan&, const slot_plan&) = default;
    };
    struct limit {
        /// Named by the server.
        std::optional<double> calls_per_second;
        std::optional<call_bound> bound;
        /// Follows from the two above; absent if there is neither.
        std::optional<slot_plan> plan;
        time_point read_at{};
        /// Peers are told until then.
        time_point reported_until{};
        /// The first slot that was not looked at yet; absent before the first look.
        std::optional<std::int64_t> next_slot;
        /// Unused slots of this node.
        std::deque<owned_slot> owned;
    };

    static slot_plan plan_for(double calls_per_second, micros min_length);
    static slot_plan plan_for(const call_bound& bound, std::optional<double> calls_per_second);
    static void update_plan(limit& of);
    static void apply(limit& to, std::optional<double> calls_per_second, time_point read_at);
    /// The limit if calls to the server are limited, or null.
    [[nodiscard]] limit* find_limited(const backend_server_id& server);
    void update_slots(const backend_server_id& server, limit& of, wall_time wall_now) const;
    [[nodiscard]] bool is_own_slot(std::uint64_t server_hash, std::int64_t slot) const;

    absl::flat_hash_map<backend_server_id, limit> limits_;
    bool knows_nodes_ = false;
    std::uint64_t own_hash_ = 0;
    std::vector<std::uint64_t> other_hashes_;
};

} // namespace jujubetide
