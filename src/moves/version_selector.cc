#include "jujubetide/moves/version_selector.h"

#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

std::vector<const backend_server_settings*>
version_selector::do_servers(const service_id& /*service*/,
                             std::span<const backend_server_settings* const> candidates) const {
    return {candidates.begin(), candidates.end()};
}

version_id settled_version_selector::do_select(const service_settings& service,
                                               const route_id& /*route*/,
                                               const request_id& /*request*/) {
    return service.version;
}

void settled_version_selector::do_record(const version_outcome& /*outcome*/) {}

} // namespace jujubetide
