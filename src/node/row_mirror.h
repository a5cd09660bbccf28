#pragma once

#include "jujubetide/store/table_follower.h"

#include <map>
#include <optional>
#include <string>

namespace jujubetide {

/// Keeps the rows of a table as they are and which of them were removed, for peers that do not
/// follow the store themselves, and passes everything on.
class row_mirror final : public table_observer {
public:
    /// `to` must outlive the mirror.
    explicit row_mirror(table_observer& to) : to_(to) {}

    [[nodiscard]] std::vector<stored_row> rows() const;
    /// What changed after a version, where the mirror has known every change since then.
    [[nodiscard]] std::optional<std::vector<stored_row>> changes_after(row_version after) const;
    /// The newest version at which the table is known to have changed.
    [[nodiscard]] row_version last_changed_version() const { return changed_at_; }

protected:
    void do_table(const std::vector<stored_row>& rows, row_version at) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_away(const absl::Status& why) override { to_.on_away(why); }
    void do_back() override { to_.on_back(); }

private:
    void forget_old_removals();

    table_observer& to_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, row_version> removed_;
    /// Removals before this version are not known.
    row_version complete_from_;
    row_version changed_at_;
};

} // namespace jujubetide
