#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace jujubetide {

/// Chooses among servers by loads that were reported a moment ago, while other nodes choose by the
/// same reports. The work sent since then is assumed to have filled the least loaded servers up to
/// one level. Each server is drawn in proportion to what it lacks of that level, so that the
/// choices of all nodes together do just that. Immutable.
class load_leveling final {
public:
    /// `loads` are the reported ones, of at least one server; `unreported` is the work sent since,
    /// for all servers together. Both in the same unit.
    load_leveling(std::span<const double> loads, double unreported);

    /// The load that the least loaded servers are expected to have.
    [[nodiscard]] double level() const { return level_; }
    /// The index of a server, for a number that is uniform in [0, 1). Without unreported work, that
    /// of one of those with the lowest load.
    [[nodiscard]] std::size_t draw(double uniform) const;

private:
    double level_ = 0.0;
    std::vector<double> weights_;
    double total_weight_ = 0.0;
};

} // namespace jujubetide
