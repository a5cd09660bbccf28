#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/peer/peer_link.h"

#include <string>

namespace jujubetide {

/// Sends one-way messages for the membership; messages may be lost. Must not block.
class message_sender {
public:
    virtual ~message_sender() = default;
    void send(const endpoint& peer, peer_message_kind kind, std::string body) {
        do_send(peer, kind, std::move(body));
    }

protected:
    message_sender() = default;
    message_sender(const message_sender&) = default;
    message_sender& operator=(const message_sender&) = default;
    virtual void do_send(const endpoint& peer, peer_message_kind kind, std::string body) = 0;
};

} // namespace jujubetide
