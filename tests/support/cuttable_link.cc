#include "support/cuttable_link.h"

#include "jujubetide/net/tcp_connection.h"

#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace jujubetide {

/// A bound socket that never listens: while no listener has the port, connections are refused, and
/// the system gives the port to no other process.
class cuttable_link::held_port {
public:
    held_port() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const bound = reinterpret_cast<sockaddr*>(&address);
        const int enabled = 1;
        setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        if (bind(socket_, bound, size) != 0 || getsockname(socket_, bound, &size) != 0) {
            throw std::runtime_error("cannot hold a port for the link");
        }
        number_ = ntohs(address.sin_port);
    }
    ~held_port() { ::close(socket_); }
    held_port(const held_port&) = delete;
    held_port& operator=(const held_port&) = delete;

    [[nodiscard]] std::uint16_t number() const { return number_; }

private:
    int socket_ = socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t number_ = 0;
};

/// A listening socket whose full queue drops the first packet of every further connection.
class cuttable_link::silent_listener {
public:
    explicit silent_listener(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const auto* bound = reinterpret_cast<const sockaddr*>(&address);
        const int enabled = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        if (bind(listener_, bound, sizeof address) != 0 || ::listen(listener_, 0) != 0) {
            throw std::runtime_error("cannot listen on the link's port");
        }
        for (const int filler : fillers_) {
            // In progress at its return; whether it ends does not matter.
            static_cast<void>(connect(filler, bound, sizeof address));
        }
    }
    ~silent_listener() {
        ::close(listener_);
        for (const int filler : fillers_) {
            ::close(filler);
        }
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

private:
    static int new_socket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0); }

    int listener_ = new_socket();
    std::array<int, 2> fillers_{new_socket(), new_socket()};
};

/// A forwarded connection.
class cuttable_link::session {
public:
    session(cuttable_link& link, std::shared_ptr<tcp_connection> accepted)
        : host_(link, std::move(accepted)),
          server_(link, tcp_connection::connect(link.loop_, link.server_, server_)) {
        host_.other = &server_;
        server_.other = &host_;
        host_.connection->set_events(host_);
    }
    ~session() { reset(); }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void reset() {
        host_.connection->reset();
        server_.connection->reset();
    }
    void release() {
        host_.release();
        server_.release();
    }

private:
    struct side final : connection_events {
        side(cuttable_link& owner, std::shared_ptr<tcp_connection> made)
            : link(owner), connection(std::move(made)) {}
        void do_data(std::string_view bytes) override {
            if (link.mode_ == mode::silent) {
                held += bytes;
            } else {
                other->connection->write(bytes);
            }
        }
        void do_end(connection_end end) override {
            ended = end;
            has_ended = true;
            if (link.mode_ != mode::silent) {
                pass_end();
            }
        }
        void pass_end() const {
            if (ended == connection_end::closed) {
                other->connection->close();
            } else {
                other->connection->reset();
            }
        }
        void release() {
            other->connection->write(std::exchange(held, {}));
            if (has_ended) {
                pass_end();
            }
        }

        cuttable_link& link;
        std::shared_ptr<tcp_connection> connection;
        side* other = nullptr;
        std::string held;
        connection_end ended = connection_end::closed;
        bool has_ended = false;
    };

    side host_;
    side server_;
};

cuttable_link::cuttable_link(event_loop& loop, endpoint server)
    : loop_(loop), server_(std::move(server)),
      port_(std::make_unique<held_port>()), address_{"127.0.0.1", port_->number()} {
    listen();
}

cuttable_link::~cuttable_link() = default;

void cuttable_link::listen() {
    acceptor_ = *tcp_acceptor::make(loop_, address_, [this](auto connection) {
        ++connections_;
        sessions_.push_back(std::make_unique<session>(*this, std::move(connection)));
    });
}

void cuttable_link::set_mode(mode to) {
    mode_ = to;
    acceptor_.reset();
    silent_.reset();
    switch (to) {
    case mode::open:
        listen();
        for (const auto& one : sessions_) {
            one->release();
        }
        break;
    case mode::silent:
        silent_ = std::make_unique<silent_listener>(address_.port);
        break;
    case mode::refusing:
        for (const auto& one : sessions_) {
            one->reset();
        }
        break;
    case mode::refusing_new:
        break;
    }
}

} // namespace jujubetide
