#pragma once

#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"

namespace jujubetide {

/// A wait up to a quarter longer or shorter than `base`, evenly, so that the nodes do not call the
/// platform at the same time.
micros with_jitter(micros base, random_source& random);

} // namespace jujubetide
