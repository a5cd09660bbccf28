#pragma once

#include "jujubetide/backend/plain_client.h"
#include "jujubetide/http/http_client.h"

#include <memory>

namespace jujubetide {

class stream_watch;
class timer_service;

/// Plain services over HTTP; docs/BACKENDS.md describes the headers that they get.
class http_plain_client final : public plain_client {
public:
    /// `connect_timeout` bounds the connection, besides the request's time left. `timers` must
    /// outlive the client.
    explicit http_plain_client(timer_service& timers, millis connect_timeout = millis{500});
    ~http_plain_client() override;
    http_plain_client(const http_plain_client&) = delete;
    http_plain_client& operator=(const http_plain_client&) = delete;

protected:
    plain_result do_call(const endpoint& server, const plain_request& request) override;

private:
    std::unique_ptr<stream_watch> watch_;
    millis connect_timeout_;
};

} // namespace jujubetide
