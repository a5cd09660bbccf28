#include "jujubetide/moves/version_selector.h"
#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

version_id settled_version_selector::do_select(const service_settings& service,
                                               const route_id& /*route*/,
                                               const request_id& /*request*/) {
    return service.version;
}

void settled_version_selector::do_record(const version_outcome& /*outcome*/) {}

} // namespace jujubetide
