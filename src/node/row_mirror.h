#pragma once

#include "jujubetide/store/table_follower.h"

#include <map>
#include <optional>
#include <string>

namespace jujubetide {

/// Keeps a copy of the current rows of a table and of its removals, for peers that do not follow
/// the store themselves, and forwards all events to an observer.
class row_mirror final : public table_observer {
public:
    /// `observer` must outlive the mirror.
    explicit row_mirror(table_observer& observer) : observer_(observer) {}

    [[nodiscard]] std::vector<stored_row> rows() const;
    /// The rows that changed after a version, or nothing if the mirror may have missed or discarded
    /// a change since then.
    [[nodiscard]] std::optional<std::vector<stored_row>> changes_after(row_version after) const;
    /// The newest version at which the table is known to have changed.
    [[nodiscard]] row_version last_changed_version() const { return last_changed_version_; }

protected:
    void do_snapshot(const std::vector<stored_row>& rows, row_version at) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_store_unavailable(const absl::Status& status) override {
        observer_.on_store_unavailable(status);
    }
    void do_store_recovered() override { observer_.on_store_recovered(); }

private:
    void discard_old_removals();

    table_observer& observer_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, row_version> removal_versions_;
    /// Removals before this version are not known.
    row_version removals_complete_from_;
    row_version last_changed_version_;
};

} // namespace jujubetide
