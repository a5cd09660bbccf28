#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace jujubetide {

enum class completion_kind : std::uint8_t { text, chat };

/// The body of a call to a model service.
struct model_call {
    completion_kind kind = completion_kind::text;
    /// As the caller named it: `TEAM/SERVICE` or `SERVICE`.
    std::string model;
    /// The prompt, or the chat's messages joined in their order.
    std::string prompt;
    /// Most pieces that the answer may have.
    std::uint32_t max_pieces = 0;
    bool stream = false;
};

/// Most pieces of an answer whose caller names no limit.
inline constexpr std::uint32_t default_max_pieces = 256;
inline constexpr std::uint32_t largest_max_pieces = 1U << 17U;

/// Reads an OpenAI-style body. InvalidArgument names the field.
absl::StatusOr<model_call> parse_model_call(completion_kind kind, const std::string& body);

/// What the `model` of a call names.
struct model_target {
    const service_settings* service = nullptr;
    /// Null where the service declares no route.
    const route_settings* route = nullptr;
};

/// Resolves `[TEAM/]SERVICE[/ROUTE]`; without a route the service's first one is taken. Nothing
/// where it names no model service, or a route that the service does not have.
std::optional<model_target> find_model_target(const settings_snapshot& settings,
                                              const std::string& model);

} // namespace jujubetide
