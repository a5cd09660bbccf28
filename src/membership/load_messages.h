#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace jujubetide::wire {

/// Prompt tokens are told in this unit, so that they take three bytes at most.
constexpr std::uint32_t tokens_unit = 64;

/// A load of one backend server, short enough to be sent each second: about 12 bytes.
struct load_record {
    /// Hash of the server's id.
    std::uint32_t server = 0;
    /// The report's sequence number less the message's base.
    std::int32_t offset = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Prompt tokens that wait, in `tokens_unit`, rounded up.
    std::uint32_t waiting_tokens = 0;
    MSGPACK_DEFINE(server, offset, running, waiting, waiting_tokens)
};

/// The parts of a load that seldom change; sent when they do, and now and then.
struct load_details_record {
    std::uint32_t server = 0;
    std::uint32_t max_running = 0;
    std::string version;
    bool leaving = false;
    MSGPACK_DEFINE(server, max_running, version, leaving)
};

/// Kind `loads`: a watcher's report to a collector (no root), or a collector's batch.
struct loads_message {
    /// The collector, whose position in the member list shapes the tree.
    std::string root;
    /// Names one run of one collector.
    std::uint64_t stream = 0;
    std::uint64_t sequence = 0;
    /// The sequence numbers before `sequence` that the batch replaces: bit i stands for
    /// `sequence - 1 - i`. Only in repairs, which are not passed on.
    std::uint32_t replaces = 0;
    bool repair = false;
    /// Civil time in hundredths of a second, as are the sequence numbers of loads.
    std::int64_t base = 0;
    std::vector<load_record> loads;
    std::vector<load_details_record> details;
    /// Customers' demand, packed by `demand_spread`: the sender's own, or with a root the sums of
    /// the collector's failure domain.
    std::string demand;
    MSGPACK_DEFINE(root, stream, sequence, replaces, repair, base, loads, details, demand)
};

} // namespace jujubetide::wire
