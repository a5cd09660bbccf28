#include "jujubetide/http1/http1_server.h"

#include "http1/server_connection.h"

#include <utility>
#include <vector>

namespace jujubetide {
namespace {

/// How often the time limits of connections are checked.
constexpr micros timeout_check_period{250'000};

} // namespace

void http1_exchange::respond(int status, const header_list& headers, std::string_view body) {
    begin(status, headers, body_framing::length, body.size());
    write(body);
    finish();
}

header_list http1_handler::do_error_headers(int, const request_head&) const {
    header_list headers;
    headers.add("Content-Type", "application/json");
    return headers;
}

absl::StatusOr<std::unique_ptr<http1_server>> http1_server::make(event_loop& loop,
                                                                 const clock& time,
                                                                 const endpoint& address,
                                                                 http1_handler& handler) {
    std::unique_ptr<http1_server> server(new http1_server(loop, time, handler));
    auto acceptor = tcp_acceptor::make(
        loop, address, [target = server.get()](std::shared_ptr<tcp_connection> connection) {
            target->add(std::move(connection));
        });
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    server->address_ = (*acceptor)->address();
    server->acceptor_ = *std::move(acceptor);
    return server;
}

http1_server::http1_server(event_loop& loop, const clock& time, http1_handler& handler)
    : loop_(loop), clock_(time), handler_(handler),
      timeout_timer_(
          loop_.every(timeout_check_period, timeout_check_period, [this] { check_timeouts(); })) {}

http1_server::~http1_server() {
    const auto remaining = connections_;
    for (const auto& connection : remaining) {
        connection->drop();
    }
}

void http1_server::add(std::shared_ptr<tcp_connection> connection) {
    if (connections_.size() >= limits_.max_connections && !evict_connection()) {
        connection->close();
        return;
    }
    auto added = std::make_shared<server_connection>(*this, std::move(connection));
    connections_.insert(added);
    added->start();
}

bool http1_server::evict_connection() {
    const time_point now = clock_.now();
    std::vector<std::shared_ptr<server_connection>> evictable;
    std::vector<unfinished_request> requests;
    for (const auto& connection : connections_) {
        if (connection->is_evictable()) {
            evictable.push_back(connection);
            requests.push_back(connection->held(now));
        }
    }
    const auto first = eviction_order::first_for_connection(requests);
    if (!first) {
        return false;
    }
    evictable[*first]->evict();
    return true;
}

void http1_server::check_timeouts() {
    const time_point now = clock_.now();
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all) {
        connection->check_timeouts(now);
    }
}

void http1_server::close_idle(micros idle_time) {
    const time_point now = clock_.now();
    const std::vector<std::shared_ptr<server_connection>> all(connections_.begin(),
                                                              connections_.end());
    for (const auto& connection : all) {
        connection->close_if_idle(now, idle_time);
    }
}

} // namespace jujubetide
