#include "node/eviction_record.h"

#include "node/node_events.h"

namespace jujubetide {

void record_eviction(serving_state& state, std::string_view port, eviction_cause cause) {
    const std::string_view name = cause == eviction_cause::memory ? "memory" : "connections";
    state.metrics.on_eviction(port, name);
    state.log.write(connection_evicted,
                    {{"port", std::string(port)}, {"cause", std::string(name)}});
}

} // namespace jujubetide
