#pragma once

#include "entry/answer_keeper.h"
#include "entry/caller_context.h"
#include "entry/entry_metrics.h"
#include "entry/entry_parts.h"

#include "jujubetide/request/claim_store.h"
#include "jujubetide/request/plain_call_machine.h"

#include <variant>

namespace jujubetide {

/// Serves `/s/<service>/...`: passes calls through to plain services.
class plain_handler {
public:
    plain_handler(entry_parts& parts, entry_metrics& metrics)
        : parts_(parts), metrics_(metrics), claims_(parts.platform_table, parts.time),
          keeper_(claims_, parts.log) {}

    /// `target` is the path and query below the service's root, beginning with '/'.
    void call(const caller_context& caller, const service_id& service, const std::string& target,
              const httplib::Request& request, httplib::Response& response);

private:
    struct plain_call {
        const caller_context& caller;
        const service_settings& service;
        const route_settings* route;
        plain_request request;
        time_point deadline{};
    };
    using plain_answer = std::variant<stored_answer, problem>;

    plain_answer run_claimed(const plain_call& call);
    plain_answer finish_claimed(const plain_call& call, const claim_query& query,
                                row_version claimed);
    /// Sends the call, again where that is allowed.
    plain_answer send(const plain_call& call);
    plain_result send_attempt(const plain_call& call, const route_query& query,
                              const route_choice& choice, const attempt_id& attempt);

    entry_parts& parts_;
    entry_metrics& metrics_;
    claim_store claims_;
    answer_keeper keeper_;
};

/// The route of a call: the longest path prefix, and of equal ones that which names the method.
/// Null where none fits.
const route_settings* find_plain_route(const service_settings& service, const std::string& method,
                                       const std::string& target);

} // namespace jujubetide
