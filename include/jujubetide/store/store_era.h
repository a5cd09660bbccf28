#pragma once

#include "jujubetide/base/ids.h"

#include <compare>

namespace jujubetide {

/// Grows each time the store comes back from an older copy; 0 while the store names no era.
using store_era = strong_number<struct store_era_tag>;

/// A state of the store. A restored store hands out versions again, so that versions can be
/// compared within an era only; any state of a later era is newer.
struct store_position {
    store_era era;
    row_version version;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace jujubetide
