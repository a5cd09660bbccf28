#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"
#include "jujubetide/http1/header_list.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace jujubetide {

/// Path at which a node takes attempts of its peers; the body is the request for the server.
inline constexpr const char* forward_path = "/forward";

/// Tells a peer what to do with the bytes of an attempt.
struct forward_order {
    backend_server_id server;
    /// The attempt that the response must belong to.
    std::string attempt_id;
    /// A pooled connection is used only if idle for less than this.
    micros max_idle{0};
};

/// What became of a forwarded attempt.
enum class forward_result {
    /// The response is the server's.
    answered,
    /// Nothing was sent to the server.
    not_sent,
    /// The attempt may have run.
    broken,
};

header_list to_headers(const forward_order& order);
/// InvalidArgument if a field is missing or malformed.
absl::StatusOr<forward_order> parse_forward_order(const header_list& headers);

void add_result(header_list& headers, forward_result result);
/// Nothing if the response does not say what became of the attempt.
std::optional<forward_result> read_result(const header_list& headers);
/// The headers without the result.
header_list without_result(const header_list& headers);

} // namespace jujubetide
