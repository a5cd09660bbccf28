#include "jujubetide/routing/random_router.h"

#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

const backend_server_settings& random_router::pick(const server_list& usable) {
    const std::lock_guard lock(mutex_);
    return *usable[random_.below(usable.size())];
}

} // namespace jujubetide
