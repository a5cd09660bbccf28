#pragma once

#include "jujubetide/base/random_source.h"
#include "jujubetide/routing/simple_router.h"

#include <mutex>

namespace jujubetide {

/// Chooses any usable server, each with the same chance.
class random_router final : public simple_router {
public:
    /// `board` must outlive the router.
    random_router(backend_board& board, std::uint64_t seed) : simple_router(board), random_(seed) {}

protected:
    const backend_server_settings& pick(const server_list& usable) override;

private:
    std::mutex mutex_;
    seeded_random random_;
};

} // namespace jujubetide
