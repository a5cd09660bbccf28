#include "control/move_check.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jujubetide {
namespace {

bool has_servers(const settings_snapshot& settings, const service_id& service,
                 const version_id& version) {
    const auto& servers = settings.servers_of(service);
    return std::any_of(servers.begin(), servers.end(),
                       [&version](const auto* server) { return server->version == version; });
}

} // namespace

absl::Status check_start(const version_move& move, const settings_snapshot& settings,
                         const std::optional<version_move>& previous) {
    // The settings name the version that traffic falls back to; a move that starts while they
    // still name one from before the last move would fall back to that.
    if (previous && previous->id != move.id && previous->state == move_state::done &&
        previous->from == move.from) {
        return absl::FailedPreconditionError(absl::StrCat(
            "the move of service '", move.service.str(), "' to version '", previous->to.str(),
            "' is done; set `version: ", previous->to.str(), "` in the service's settings first"));
    }
    if (move.to == move.from) {
        return absl::InvalidArgumentError(absl::StrCat(
            "service '", move.service.str(), "' is at version '", move.to.str(), "' already"));
    }
    if (!has_servers(settings, move.service, move.to)) {
        return absl::InvalidArgumentError(absl::StrCat("service '", move.service.str(),
                                                       "' has no backend server of version '",
                                                       move.to.str(), "'"));
    }
    if (move.due <= move.start) {
        return absl::InvalidArgumentError("the due time is not in the future");
    }
    return absl::OkStatus();
}

} // namespace jujubetide
