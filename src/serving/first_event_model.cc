#include "jujubetide/serving/first_event_model.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Assumed before any observation.
constexpr double default_ms_per_token = 0.025;
constexpr double default_fixed_ms = 40.0;
/// Weight of the assumed time for a token: observations of smaller prompts say little of it.
constexpr double assumed_spread = 2'000.0 * 2'000.0;
/// Factor by which the weight of past observations decays with each new one.
constexpr double weight_decay = 0.985;
/// A call that takes more than this multiple of its estimate has met a stall, or a speed that more
/// observations will confirm.
constexpr double max_surprise = 4.0;
constexpr double min_fixed_ms = 1.0;
/// Bounds of the division only: a thousand times either way.
constexpr double min_ms_per_token = default_ms_per_token / 1'000.0;

} // namespace

void first_event_model::add(double tokens, double seen_ms) {
    const double estimate = fixed_ms() + tokens * ms_per_token();
    const double seen = std::min(seen_ms, max_surprise * estimate);
    for (double* sum : {&count_, &tokens_, &seen_, &tokens_squared_, &tokens_seen_}) {
        *sum *= weight_decay;
    }
    count_ += 1.0;
    tokens_ += tokens;
    seen_ += seen;
    tokens_squared_ += tokens * tokens;
    tokens_seen_ += tokens * seen;
}

double first_event_model::ms_per_token() const {
    // One observation of the assumed fixed time, which never decays, makes the line definite.
    const double count = count_ + 1.0;
    const double spread = tokens_squared_ - tokens_ * tokens_ / count;
    const double covariance = tokens_seen_ - tokens_ * (seen_ + default_fixed_ms) / count;
    return std::max(min_ms_per_token, (covariance + assumed_spread * default_ms_per_token) /
                                          (spread + assumed_spread));
}

double first_event_model::fixed_ms() const {
    return std::max(min_fixed_ms,
                    (seen_ + default_fixed_ms - ms_per_token() * tokens_) / (count_ + 1.0));
}

} // namespace jujubetide
