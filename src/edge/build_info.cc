#include "jujubetide/edge/build_info.h"

#include "jujubetide/base/build_identity.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace jujubetide {

void add_build_info(prometheus::Registry& registry) {
    prometheus::BuildGauge()
        .Name("jujubetide_build_info")
        .Help("1, with the version and the identity of the sources of the running program.")
        .Register(registry)
        .Add({{"version", std::string(program_version())},
              {"sources", std::string(source_identity())}})
        .Set(1.0);
}

} // namespace jujubetide
