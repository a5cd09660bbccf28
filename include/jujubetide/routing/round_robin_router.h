#pragma once

#include "jujubetide/routing/simple_router.h"

#include <atomic>
#include <cstdint>

namespace jujubetide {

/// Chooses the usable servers in turn.
class round_robin_router final : public simple_router {
public:
    /// `board` must outlive the router.
    explicit round_robin_router(backend_board& board) : simple_router(board) {}

protected:
    const backend_server_settings& pick(const server_list& usable) override;

private:
    std::atomic<std::uint64_t> next_{0};
};

} // namespace jujubetide
