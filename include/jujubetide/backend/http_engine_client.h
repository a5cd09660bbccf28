#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/http/http_client.h"

namespace jujubetide {

/// Model engines over HTTP; docs/BACKENDS.md describes the calls. `run` uses a thread of its own
/// for the connection while it lasts.
class http_engine_client final : public engine_client {
public:
    /// `timeouts.read` bounds every call but `run`, which is bounded by the request's time left
    /// and by its receiver.
    explicit http_engine_client(const http_timeouts& timeouts = {millis{500}, millis{2'000},
                                                                 millis{2'000}})
        : timeouts_(timeouts) {}

protected:
    engine_result do_run(const endpoint& engine, const engine_request& request,
                         engine_receiver& receiver) override;
    absl::Status do_cancel(const endpoint& engine, const attempt_id& attempt) override;
    absl::StatusOr<load_report> do_load(const endpoint& engine) override;
    absl::StatusOr<std::vector<cache_event>> do_cache_events(const endpoint& engine,
                                                             sequence_number after) override;
    absl::Status do_order(const endpoint& engine, const engine_order& order) override;

private:
    http_timeouts timeouts_;
};

} // namespace jujubetide
