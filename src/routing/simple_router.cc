#include "jujubetide/routing/simple_router.h"

#include "eligibility.h"

namespace jujubetide {

absl::StatusOr<route_choice>
simple_router::do_choose(const route_query& query,
                         std::span<const backend_server_settings* const> candidates) {
    const server_list usable = eligible_servers(query, candidates, board_);
    if (usable.empty()) {
        return absl::UnavailableError("no backend server can take the request");
    }
    return route_choice{pick(usable).id, micros{0}, token_count()};
}

void simple_router::do_on_sent(const route_query& query, const route_choice& choice) {
    board_.on_sent(choice.server, query.prompt_tokens);
}

void simple_router::do_on_finished(const route_query& /*query*/, const route_choice& choice,
                                   token_count /*cached*/, bool /*completed*/) {
    board_.on_finished(choice.server);
}

} // namespace jujubetide
