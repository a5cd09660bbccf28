#include "jujubetide/limits/answer_time.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Weight of a new observation.
constexpr double observation_weight = 0.1;

void observe(double& mean, double seen) {
    mean = mean < 0.0 ? seen : mean + observation_weight * (seen - mean);
}

} // namespace

void answer_time::on_attempt(const service_id& service, std::uint32_t pieces, micros first_to_last,
                             time_point now) {
    if (pieces < 2) {
        return;
    }
    const std::chrono::duration<double> taken = first_to_last;
    services_.update(service, [&](means& known) {
        observe(known.interval, taken.count() / static_cast<double>(pieces - 1));
        known.last_attempt = now;
    });
}

void answer_time::on_whole(const service_id& service, std::uint32_t pieces) {
    services_.update(service, [&](means& known) { observe(known.pieces, pieces); });
}

micros answer_time::expected(const service_id& service, std::uint32_t max_pieces,
                             time_point now) const {
    const means known = services_.get(service).value_or(means{});
    if (known.interval < 0.0 || max_pieces == 0 || now - known.last_attempt > memory) {
        return micros{0};
    }
    const auto most = static_cast<double>(max_pieces);
    const double pieces = known.pieces < 0.0 ? most : std::min(known.pieces, most);
    return micros(static_cast<std::int64_t>(std::max(0.0, pieces - 1.0) * known.interval * 1e6));
}

} // namespace jujubetide
