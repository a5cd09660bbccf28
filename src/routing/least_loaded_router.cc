#include "jujubetide/routing/least_loaded_router.h"

#include "jujubetide/settings/settings_snapshot.h"

#include <algorithm>

namespace jujubetide {
namespace {

std::uint64_t load_of(const backend_state& state) {
    return std::uint64_t{state.load.running} + state.load.waiting + state.own_sent_since_load;
}

} // namespace

const backend_server_settings& least_loaded_router::pick(const server_list& usable) {
    const auto least =
        std::min_element(usable.begin(), usable.end(), [this](const auto* a, const auto* b) {
            return load_of(board().state(a->id)) < load_of(board().state(b->id));
        });
    return **least;
}

} // namespace jujubetide
