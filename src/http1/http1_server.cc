#include "jujubetide/http1/http1_server.h"

#include "http1/server_connection.h"

#include <utility>
#include <vector>

namespace jujubetide {
namespace {

/// How often the time limits of connections are looked at.
constexpr micros sweep_period{250'000};

} // namespace

void http1_exchange::respond(int status, const header_list& headers, std::string_view body) {
    begin(status, headers, body_framing::length, body.size());
    write(body);
    finish();
}

absl::StatusOr<std::unique_ptr<http1_server>> http1_server::make(event_loop& loop,
                                                                 const clock& time,
                                                                 const endpoint& at,
                                                                 http1_handler& handler) {
    std::unique_ptr<http1_server> made(new http1_server(loop, time, handler));
    auto acceptor = tcp_acceptor::make(
        loop, at, [server = made.get()](std::shared_ptr<tcp_connection> connection) {
            server->add(std::move(connection));
        });
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    made->address_ = (*acceptor)->address();
    made->acceptor_ = *std::move(acceptor);
    return made;
}

http1_server::http1_server(event_loop& loop, const clock& time, http1_handler& handler)
    : loop_(loop), clock_(time), handler_(handler),
      sweeper_(loop_.every(sweep_period, sweep_period, [this] { sweep(); })) {}

http1_server::~http1_server() {
    const auto remaining = connections_;
    for (const auto& connection : remaining) {
        connection->drop();
    }
}

void http1_server::add(std::shared_ptr<tcp_connection> connection) {
    if (connections_.size() >= limits_.max_connections) {
        connection->close();
        return;
    }
    auto added = std::make_shared<server_connection>(*this, std::move(connection));
    connections_.insert(added);
    added->start();
}

void http1_server::sweep() {
    const time_point now = clock_.now();
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all) {
        connection->check_times(now);
    }
}

void http1_server::close_idle(micros silence) {
    const time_point now = clock_.now();
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all) {
        connection->close_if_idle(now, silence);
    }
}

} // namespace jujubetide
