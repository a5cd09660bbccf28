// Reads rows and peers' messages that may come from anyone: none may crash a reader.
#include "node/peer_heartbeat.h"
#include "node/peer_messages.h"
#include "platform/row_codec.h"

#include <cstdint>
#include <string>

using namespace jujubetide;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, // NOLINT
                                      std::size_t size) {
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const platform::row_codec rows;
    (void)rows.config(bytes);
    (void)rows.registration(backend_server_id("i-1"), bytes);
    (void)decode_heartbeat(bytes);
    (void)decode_usage(bytes);
    (void)decode_rows(bytes);
    return 0;
}
