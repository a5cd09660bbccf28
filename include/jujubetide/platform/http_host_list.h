#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"
#include "jujubetide/platform/host_list.h"

namespace jujubetide {

/// The platform's list of hosts over HTTP; docs/BACKENDS.md describes the call.
class http_host_list final : public host_list {
public:
    explicit http_host_list(endpoint platform, const http_timeouts& timeouts = {})
        : platform_(std::move(platform)), timeouts_(timeouts) {}

protected:
    absl::StatusOr<std::vector<listed_host>> do_list() override;

private:
    endpoint platform_;
    http_timeouts timeouts_;
};

} // namespace jujubetide
