#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"
#include "jujubetide/platform/cloud.h"

namespace jujubetide {

/// The cloud's interface over HTTP; docs/BACKENDS.md describes the calls.
class http_cloud final : public cloud {
public:
    explicit http_cloud(endpoint platform, const http_timeouts& timeouts = {})
        : platform_(std::move(platform)), timeouts_(timeouts) {}

protected:
    absl::StatusOr<host_id> do_start(const host_start& request) override;
    absl::Status do_stop(const host_id& host) override;
    absl::StatusOr<std::vector<reclaim_notice>> do_reclaim_notices() override;
    absl::StatusOr<std::vector<host_price>> do_prices() override;

private:
    endpoint platform_;
    http_timeouts timeouts_;
};

} // namespace jujubetide
