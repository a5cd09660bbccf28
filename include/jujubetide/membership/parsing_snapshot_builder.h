#pragma once

#include "jujubetide/membership/snapshot_builder.h"

namespace jujubetide {

/// Builds with the settings parser.
class parsing_snapshot_builder final : public snapshot_builder {
protected:
    [[nodiscard]] snapshot_ptr do_build(const settings_documents& documents, revision at,
                                        findings& found) const override;
};

} // namespace jujubetide
