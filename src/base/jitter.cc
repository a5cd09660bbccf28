#include "jujubetide/base/jitter.h"

#include <chrono>

namespace jujubetide {
namespace {

/// Part by which a wait may be longer or shorter.
constexpr double jitter = 0.25;

} // namespace

micros with_jitter(micros base, random_source& random) {
    const double factor = 1.0 - jitter + 2.0 * jitter * random.uniform();
    return std::chrono::duration_cast<micros>(base * factor);
}

} // namespace jujubetide
