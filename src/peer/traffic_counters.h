#pragma once

#include "jujubetide/peer/nghttp2_peer_link.h"

#include <array>
#include <atomic>
#include <vector>

namespace jujubetide {

/// Counts traffic by kind. Thread-safe.
class traffic_counters {
public:
    static constexpr std::size_t kinds = 32;

    void sent(peer_message_kind kind, std::uint64_t bytes) { at(kind).bytes_sent += bytes; }
    void received(peer_message_kind kind, std::uint64_t bytes) { at(kind).bytes_received += bytes; }
    void message_sent(peer_message_kind kind) { ++at(kind).messages_sent; }
    void message_received(peer_message_kind kind) { ++at(kind).messages_received; }

    [[nodiscard]] std::vector<peer_traffic> list() const {
        std::vector<peer_traffic> result;
        for (std::size_t i = 0; i < kinds; ++i) {
            const counter& from = counters_[i];
            if (from.bytes_sent + from.bytes_received > 0) {
                result.push_back({static_cast<peer_message_kind>(i), from.bytes_sent,
                                  from.bytes_received, from.messages_sent, from.messages_received});
            }
        }
        return result;
    }

private:
    struct counter {
        std::atomic<std::uint64_t> bytes_sent{0};
        std::atomic<std::uint64_t> bytes_received{0};
        std::atomic<std::uint64_t> messages_sent{0};
        std::atomic<std::uint64_t> messages_received{0};
    };

    counter& at(peer_message_kind kind) {
        return counters_[static_cast<std::size_t>(kind) % kinds];
    }

    std::array<counter, kinds> counters_;
};

} // namespace jujubetide
