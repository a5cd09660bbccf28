#include "jujubetide/membership/parsing_snapshot_builder.h"

namespace jujubetide {

snapshot_ptr parsing_snapshot_builder::do_build(const settings_documents& documents, revision at,
                                                findings& found) const {
    return parse_settings(documents, at, found);
}

} // namespace jujubetide
