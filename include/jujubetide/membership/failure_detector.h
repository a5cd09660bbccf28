#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace jujubetide {

struct failure_detector_limits {
    /// A neighbour that is silent for this long is suspected.
    micros suspect_after{5'000'000};
    /// A suspected member that has not refuted for this long is dead.
    micros dead_after{5'000'000};
    /// A dead member is forgotten after this long; longer than regions lose each other.
    micros forget_after{3LL * 3600 * 1'000'000};
    /// A gap between two checks above this one is a suspension of the own process.
    micros own_pause{2'000'000};
};

/// What a check of the failure detector found.
struct failure_verdicts {
    std::vector<node_id> suspected;
    std::vector<node_id> dead;
    std::vector<node_id> forgotten;
    /// The own process was suspended; silence during that time says nothing of others.
    bool own_pause = false;
};

/// Decides from silence which neighbours are suspected, and from time which suspected members are
/// dead and which dead ones are forgotten. Not thread-safe.
class failure_detector {
public:
    explicit failure_detector(failure_detector_limits limits) : limits_(limits) {}

    /// Sets whose silence counts; a new neighbour counts as heard at `now`.
    void set_neighbours(const std::vector<node_id>& neighbours, time_point now);
    void on_heard(const node_id& node, time_point now);
    /// The member is alive by its latest record.
    void on_alive(const node_id& node);
    /// The member is suspected or dead by its latest record; repeated calls keep the first time.
    void on_suspected(const node_id& node, time_point now);
    void on_dead(const node_id& node, time_point now);
    /// Verdicts due at `now`; each is given once.
    failure_verdicts check(time_point now);

private:
    void pardon_all(time_point now);

    failure_detector_limits limits_;
    absl::flat_hash_map<node_id, time_point> last_heard_;
    absl::flat_hash_map<node_id, time_point> suspected_since_;
    absl::flat_hash_map<node_id, time_point> dead_since_;
    time_point last_check_{};
    bool checked_ = false;
};

} // namespace jujubetide
