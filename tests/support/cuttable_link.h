#pragma once

#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"

#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// One host's path to a server: forwards connections until the test cuts it.
class cuttable_link {
public:
    enum class mode {
        open,
        /// New connections and the bytes of existing ones go nowhere.
        silent,
        /// New connections are refused and existing ones are reset.
        refusing,
        /// New connections are refused; existing ones live on.
        refusing_new,
    };

    cuttable_link(event_loop& loop, endpoint server);
    ~cuttable_link();
    cuttable_link(const cuttable_link&) = delete;
    cuttable_link& operator=(const cuttable_link&) = delete;

    /// The address to use in place of the server's.
    [[nodiscard]] const endpoint& address() const { return address_; }
    void set_mode(mode to);
    [[nodiscard]] int connections() const { return connections_; }

private:
    class held_port;
    class session;
    class silent_listener;

    void listen();

    event_loop& loop_;
    endpoint server_;
    std::unique_ptr<held_port> port_;
    endpoint address_;
    mode mode_ = mode::open;
    int connections_ = 0;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::unique_ptr<silent_listener> silent_;
    std::vector<std::unique_ptr<session>> sessions_;
};

} // namespace jujubetide
