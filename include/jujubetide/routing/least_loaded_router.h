#pragma once

#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/routing/router.h"

namespace jujubetide {

/// Chooses the server with the fewest requests by its last load report. Knows nothing of caches.
class least_loaded_router final : public router {
public:
    /// `board` must outlive the router.
    explicit least_loaded_router(backend_board& board) : board_(board) {}

protected:
    absl::StatusOr<route_choice>
    do_choose(const route_query& query,
              std::span<const backend_server_settings* const> candidates) override;
    void do_on_sent(const route_query& query, const route_choice& choice) override;
    void do_on_finished(const route_query& query, const route_choice& choice, token_count cached,
                        bool completed) override;

private:
    backend_board& board_;
};

} // namespace jujubetide
