#pragma once

#include "jujubetide/routing/simple_router.h"

namespace jujubetide {

/// Chooses the server with the fewest requests by its last load report and own work sent since.
/// Knows nothing of caches.
class least_loaded_router final : public simple_router {
public:
    /// `board` must outlive the router.
    explicit least_loaded_router(backend_board& board) : simple_router(board) {}

protected:
    const backend_server_settings& pick(const server_list& usable) override;
};

} // namespace jujubetide
