#pragma once

#include "jujubetide/backend/plain_client.h"
#include "jujubetide/http/http_client.h"

namespace jujubetide {

/// Plain services over HTTP; docs/BACKENDS.md describes the headers that they get.
class http_plain_client final : public plain_client {
public:
    /// `connect_timeout` bounds the connection, besides the request's time left.
    explicit http_plain_client(millis connect_timeout = millis{500})
        : connect_timeout_(connect_timeout) {}

protected:
    plain_result do_call(const endpoint& server, const plain_request& request) override;

private:
    millis connect_timeout_;
};

} // namespace jujubetide
