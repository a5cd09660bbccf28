#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"
#include "jujubetide/platform/object_store.h"

namespace jujubetide {

/// The platform's object store over HTTP; docs/BACKENDS.md describes the calls.
class http_object_store final : public object_store {
public:
    explicit http_object_store(endpoint platform, const http_timeouts& timeouts = {})
        : platform_(std::move(platform)), timeouts_(timeouts) {}

protected:
    absl::Status do_put(const std::string& name, const std::string& body) override;
    absl::StatusOr<std::string> do_get(const std::string& name) override;

private:
    endpoint platform_;
    http_timeouts timeouts_;
};

} // namespace jujubetide
