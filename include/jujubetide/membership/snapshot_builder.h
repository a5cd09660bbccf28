#pragma once

#include "jujubetide/settings/settings_parser.h"
#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

/// Builds a snapshot from documents that a peer sent. Thread-safe.
class snapshot_builder {
public:
    virtual ~snapshot_builder() = default;
    /// Null, with the reasons in `found`, when the documents are faulty.
    [[nodiscard]] snapshot_ptr build(const settings_documents& documents, revision at,
                                     findings& found) const {
        return do_build(documents, at, found);
    }

protected:
    snapshot_builder() = default;
    snapshot_builder(const snapshot_builder&) = default;
    snapshot_builder& operator=(const snapshot_builder&) = default;
    [[nodiscard]] virtual snapshot_ptr do_build(const settings_documents& documents, revision at,
                                                findings& found) const = 0;
};

} // namespace jujubetide
