#pragma once

#include "jujubetide/base/ids.h"

#include <cstdint>
#include <vector>

namespace jujubetide {

/// Why an attempt ended.
enum class attempt_end {
    completed,
    /// The backend server says that it did not run it, or it was never reached.
    not_run,
    /// The answer broke off without its end mark.
    interrupted,
    /// No piece came for too long.
    stalled,
    /// Pieces contradicted each other.
    conflicting,
    /// The end mark named another number of pieces than came.
    not_whole,
    /// The server's host is leaving, and another server goes on.
    server_leaving,
    deadline,
    caller_gone,
    handed_over,
};

/// Whether the backend server itself failed, as evidence against its version.
bool is_server_fault(attempt_end end);

/// The attempts of one request: their ids, where they went and what may have run.
class attempt_ledger {
public:
    /// `first_number` continues the count of a request that was handed over; `may_have_run` tells
    /// whether one of the earlier attempts may have run.
    explicit attempt_ledger(request_id request, std::uint32_t first_number = 0,
                            bool may_have_run = false)
        : request_(std::move(request)), next_number_(first_number), may_have_run_(may_have_run) {}

    /// Begins an attempt and returns its id.
    const attempt_id& begin(const backend_server_id& server, const failure_domain_id& domain);
    void end(attempt_end end);

    /// The attempt that runs now, or an empty id.
    [[nodiscard]] const attempt_id& current() const { return current_; }
    [[nodiscard]] bool is_running() const { return !current_.empty(); }
    [[nodiscard]] const std::vector<backend_server_id>& tried() const { return tried_; }
    /// Domain of the last attempt that failed, or empty.
    [[nodiscard]] const failure_domain_id& failed_domain() const { return failed_domain_; }
    [[nodiscard]] std::uint32_t next_number() const { return next_number_; }
    /// Whether any attempt reached a server that did not say that it did not run it.
    [[nodiscard]] bool may_have_run() const { return may_have_run_ || is_running(); }

private:
    request_id request_;
    std::uint32_t next_number_;
    bool may_have_run_;
    attempt_id current_;
    failure_domain_id current_domain_;
    failure_domain_id failed_domain_;
    std::vector<backend_server_id> tried_;
};

} // namespace jujubetide
