#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/http/http_client.h"
#include "jujubetide/platform/table.h"

namespace jujubetide {

/// The platform's table over HTTP; docs/BACKENDS.md describes the calls.
class http_table final : public table {
public:
    explicit http_table(endpoint platform, const http_timeouts& timeouts = {})
        : platform_(std::move(platform)), timeouts_(timeouts) {}

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override;
    absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) override;
    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override;

private:
    endpoint platform_;
    http_timeouts timeouts_;
};

} // namespace jujubetide
