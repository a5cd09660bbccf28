#pragma once

namespace prometheus {
class Registry;
} // namespace prometheus

namespace jujubetide {

/// Adds the metric that tells the version and the identity of the sources of the running program.
void add_build_info(prometheus::Registry& registry);

} // namespace jujubetide
