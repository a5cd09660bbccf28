#pragma once

#include "jujubetide/store/table_follower.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace jujubetide {

/// Keeps a copy of the current rows of a table and of its removals, for peers that do not follow
/// the store themselves, and forwards all events to an observer.
///
/// A row that the mirror saw replaced or removed does not come back with a restored store: what
/// took its place stands until the row is written again.
class row_mirror final : public table_observer {
public:
    /// `observer` must outlive the mirror.
    explicit row_mirror(table_observer& observer) : observer_(observer) {}

    [[nodiscard]] std::vector<stored_row> rows() const;
    /// The rows that changed after a state of the store, or nothing if it is of another era or the
    /// mirror may have missed or discarded a change since then.
    [[nodiscard]] std::optional<std::vector<stored_row>> changes_after(store_position after) const;
    /// The newest state of the store in which the table is known to have changed.
    [[nodiscard]] store_position last_change() const { return {era_, last_changed_version_}; }
    [[nodiscard]] store_era era() const { return era_; }

protected:
    void do_snapshot(const std::vector<stored_row>& rows, store_position at) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_store_unavailable(const absl::Status& status) override {
        observer_.on_store_unavailable(status);
    }
    void do_store_recovered() override { observer_.on_store_recovered(); }

private:
    /// A row that was replaced or removed.
    struct superseded_row {
        std::string key;
        row_version version;
        std::uint64_t value_hash = 0;

        friend auto operator<=>(const superseded_row&, const superseded_row&) = default;
    };

    static superseded_row to_superseded(const stored_row& row);
    void supersede(const stored_row& row);
    /// Notes the row that `by` replaces or removes, if any.
    void remember_superseded(const stored_row& by);
    /// The rows of a restored store, without those that were superseded before.
    [[nodiscard]] std::vector<stored_row>
    without_superseded(const std::vector<stored_row>& rows) const;
    void discard_old_removals();

    table_observer& observer_;
    std::map<std::string, stored_row> rows_;
    std::map<std::string, row_version> removal_versions_;
    /// The newest are last.
    std::deque<superseded_row> superseded_;
    store_era era_;
    /// Removals before this version are not known.
    row_version removals_complete_from_;
    row_version last_changed_version_;
};

} // namespace jujubetide
