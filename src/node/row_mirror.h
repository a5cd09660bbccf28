#pragma once

#include "jujubetide/store/table_follower.h"

#include <map>
#include <string>

namespace jujubetide {

/// Keeps the rows of a table as they are, for peers that the store turns away, and passes
/// everything on.
class row_mirror final : public table_observer {
public:
    /// `to` must outlive the mirror.
    explicit row_mirror(table_observer& to) : to_(to) {}

    [[nodiscard]] std::vector<stored_row> rows() const;

protected:
    void do_table(const std::vector<stored_row>& rows) override;
    void do_changes(const std::vector<stored_row>& rows) override;
    void do_away(const absl::Status& why) override { to_.on_away(why); }
    void do_back() override { to_.on_back(); }

private:
    table_observer& to_;
    std::map<std::string, stored_row> rows_;
};

} // namespace jujubetide
