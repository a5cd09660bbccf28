#pragma once

#include "entry/entry_parts.h"

#include "jujubetide/edge/periodic_task.h"
#include "jujubetide/membership/membership_node.h"

#include <memory>
#include <vector>

namespace jujubetide {

/// Reads the load of the model engines that this node watches each second, spreads the reports, and
/// tells of the hosts whose engines say that they leave.
class load_poller {
public:
    static constexpr micros period{1'000'000};
    /// Threads that share the engines, so that a few that do not answer hold up only a part.
    static constexpr std::size_t thread_count = 4;

    /// Both outlive the poller.
    load_poller(entry_parts& parts, membership_node& membership);

private:
    void poll_part(std::size_t part);
    void poll_server(const backend_server_settings& server);

    entry_parts& parts_;
    membership_node& membership_;
    std::vector<std::unique_ptr<periodic_task>> tasks_;
};

} // namespace jujubetide
