#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>
#include <vector>

namespace jujubetide {

struct backend_server_settings;

/// What a routing decision is made for.
struct route_query {
    request_id request;
    service_id service;
    /// The version that the request must run on.
    version_id version;
    customer_id customer;
    /// Hashes of the prompt's leading blocks, each covering all blocks up to it; empty for plain
    /// services.
    std::vector<std::uint64_t> prefix_hashes;
    token_count prompt_tokens;
    time_point now{};
    time_point deadline{};
    /// Where the previous attempt failed, or empty.
    failure_domain_id avoid_domain;
    /// Servers already tried for this request.
    std::vector<backend_server_id> tried;
};

struct route_choice {
    backend_server_id server;
    /// Estimated time until the first piece of the answer.
    micros estimated_first_piece{0};
    /// Prompt tokens expected in the server's prefix cache.
    token_count expected_cached;
};

/// Chooses the backend server for an attempt. Thread-safe.
class router {
public:
    virtual ~router() = default;

    /// Chooses among `candidates`, which run the right service; the router itself skips those that
    /// leave, are avoided or run another version. Unavailable when none is left.
    [[nodiscard]] absl::StatusOr<route_choice>
    choose(const route_query& query, std::span<const backend_server_settings* const> candidates) {
        return do_choose(query, candidates);
    }
    /// The attempt was sent to the server that was chosen for it.
    void on_sent(const route_query& query, const route_choice& choice) {
        do_on_sent(query, choice);
    }
    /// The first piece of the attempt's answer came.
    void on_first_piece(const route_query& query, const route_choice& choice) {
        do_on_first_piece(query, choice);
    }
    /// The attempt ended; `cached` is what the server said it had cached, `completed` whether the
    /// answer came whole.
    void on_finished(const route_query& query, const route_choice& choice, token_count cached,
                     bool completed) {
        do_on_finished(query, choice, cached, completed);
    }

protected:
    router() = default;
    router(const router&) = default;
    router& operator=(const router&) = default;
    virtual absl::StatusOr<route_choice>
    do_choose(const route_query& query,
              std::span<const backend_server_settings* const> candidates) = 0;
    virtual void do_on_sent(const route_query& query, const route_choice& choice) = 0;
    virtual void do_on_first_piece(const route_query& query, const route_choice& choice);
    virtual void do_on_finished(const route_query& query, const route_choice& choice,
                                token_count cached, bool completed) = 0;
};

} // namespace jujubetide
