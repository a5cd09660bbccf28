#pragma once

#include "jujubetide/blackboard/backend_board.h"
#include "jujubetide/routing/router.h"

#include <vector>

namespace jujubetide {

/// A router that chooses among the usable servers without an estimate.
class simple_router : public router {
protected:
    using server_list = std::vector<const backend_server_settings*>;

    /// `board` must outlive the router.
    explicit simple_router(backend_board& board) : board_(board) {}

    /// Chooses one of `usable`, which is not empty.
    virtual const backend_server_settings& pick(const server_list& usable) = 0;
    [[nodiscard]] const backend_board& board() const { return board_; }

    absl::StatusOr<route_choice>
    do_choose(const route_query& query,
              std::span<const backend_server_settings* const> candidates) final;
    void do_on_sent(const route_query& query, const route_choice& choice) final;
    void do_on_finished(const route_query& query, const route_choice& choice, token_count cached,
                        bool completed) final;

private:
    backend_board& board_;
};

} // namespace jujubetide
