#pragma once

#include "jujubetide/peer/peer_link.h"

namespace jujubetide {

/// The link of a node that has no peers: nothing is delivered.
class no_peers final : public peer_link {
protected:
    absl::Status do_send(const endpoint& /*peer*/, peer_message_kind /*kind*/,
                         std::string /*body*/) override {
        return absl::UnavailableError("no peers");
    }
    absl::StatusOr<std::string> do_call(const endpoint& /*peer*/, peer_message_kind /*kind*/,
                                        std::string /*body*/, millis /*timeout*/) override {
        return absl::UnavailableError("no peers");
    }
    void do_set_handler(peer_message_kind /*kind*/, handler /*function*/) override {}
};

} // namespace jujubetide
