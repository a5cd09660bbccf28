#include "jujubetide/routing/round_robin_router.h"

#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

const backend_server_settings& round_robin_router::pick(const server_list& usable) {
    return *usable[next_++ % usable.size()];
}

} // namespace jujubetide
