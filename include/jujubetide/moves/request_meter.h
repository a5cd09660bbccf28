#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/sharded_map.h"
#include "jujubetide/base/units.h"

#include <cstdint>

namespace jujubetide {

/// Counts the requests of each service at this node. Thread-safe.
class request_meter {
public:
    void count(const service_id& service, time_point now);
    /// Requests in a second over the last 30 to 60 s, or since the first one where that is later.
    [[nodiscard]] double rate(const service_id& service, time_point now) const;

private:
    struct periods {
        time_point begin{};
        std::uint64_t current = 0;
        std::uint64_t previous = 0;
        bool has_previous = false;

        void roll(time_point now);
    };

    sharded_map<service_id, periods> services_;
};

} // namespace jujubetide
