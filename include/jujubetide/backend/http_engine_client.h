#pragma once

#include "jujubetide/backend/engine_client.h"
#include "jujubetide/http/http_client.h"

#include <memory>

namespace jujubetide {

class stream_watch;
class timer_service;

/// Model engines over HTTP; docs/BACKENDS.md describes the calls. `run` reads the answer on the
/// calling thread; receivers are asked on the timer's thread while no piece arrives.
class http_engine_client final : public engine_client {
public:
    /// `timeouts.read` bounds every call but `run`, which is bounded by the request's time left
    /// and by its receiver. `timers` must outlive the client.
    explicit http_engine_client(timer_service& timers,
                                const http_timeouts& timeouts = {millis{500}, millis{2'000},
                                                                 millis{2'000}});
    ~http_engine_client() override;
    http_engine_client(const http_engine_client&) = delete;
    http_engine_client& operator=(const http_engine_client&) = delete;

protected:
    engine_result do_run(const endpoint& engine, const engine_request& request,
                         engine_receiver& receiver) override;
    absl::Status do_cancel(const endpoint& engine, const attempt_id& attempt) override;
    absl::StatusOr<load_report> do_load(const endpoint& engine) override;
    absl::StatusOr<std::vector<cache_event>> do_cache_events(const endpoint& engine,
                                                             sequence_number after) override;
    absl::Status do_order(const endpoint& engine, const engine_order& order) override;

private:
    std::unique_ptr<stream_watch> watch_;
    http_timeouts timeouts_;
};

} // namespace jujubetide
