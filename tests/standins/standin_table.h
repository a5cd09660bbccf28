#pragma once

#include "jujubetide/platform/table.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace jujubetide {

/// A transactional table in memory; also usable in place of a client of the platform's table.
/// Thread-safe.
class standin_table final : public table {
public:
    /// Rows read and transactions tried since the start.
    [[nodiscard]] std::uint64_t reads() const;
    [[nodiscard]] std::uint64_t writes() const;

protected:
    absl::StatusOr<std::optional<table_row>> do_get(const std::string& key) override;
    absl::StatusOr<std::vector<table_row>>
    do_scan(const std::string& prefix, const std::string& after, std::size_t limit) override;
    absl::StatusOr<row_version> do_commit(const table_transaction& transaction) override;

private:
    struct stored_value {
        std::string value;
        row_version version;
    };

    mutable std::mutex mutex_;
    std::map<std::string, stored_value> rows_;
    row_version last_commit_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace jujubetide
