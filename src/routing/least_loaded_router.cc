#include "jujubetide/routing/least_loaded_router.h"

#include "eligibility.h"

#include <algorithm>

namespace jujubetide {
namespace {

std::uint64_t load_of(const backend_state& state) {
    return std::uint64_t{state.load.running} + state.load.waiting + state.own_sent_since_load;
}

} // namespace

absl::StatusOr<route_choice>
least_loaded_router::do_choose(const route_query& query,
                               std::span<const backend_server_settings* const> candidates) {
    const auto usable = eligible_servers(query, candidates, board_);
    if (usable.empty()) {
        return absl::UnavailableError("no backend server can take the request");
    }
    const auto least =
        std::min_element(usable.begin(), usable.end(), [this](const auto* a, const auto* b) {
            return load_of(board_.state(a->id)) < load_of(board_.state(b->id));
        });
    return route_choice{(*least)->id, micros{0}, token_count()};
}

void least_loaded_router::do_on_sent(const route_query& query, const route_choice& choice) {
    board_.on_sent(choice.server, query.prompt_tokens);
}

void least_loaded_router::do_on_finished(const route_query& /*query*/, const route_choice& choice,
                                         token_count /*cached*/, bool /*completed*/) {
    board_.on_finished(choice.server);
}

} // namespace jujubetide
