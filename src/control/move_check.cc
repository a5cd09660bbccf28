#include "control/move_check.h"

#include "control/move_settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

#include <algorithm>

namespace jujubetide {
namespace {

/// Part of the needed time that the told earliest due time is later.
constexpr int reserve_divisor = 10;
constexpr millis whole_minute{60'000};

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

move_plan plan_of(const version_move& move, const blackboard& board, double request_rate) {
    move_plan plan = plan_move(
        {move.start, move.due, request_rate, move_settings_for(board, move).server_share});
    const millis needed = plan.earliest_due - move.start;
    const millis told = needed + needed / reserve_divisor;
    plan.earliest_due = move.start + (told / whole_minute + 1) * whole_minute;
    return plan;
}

absl::Status check_plan(const version_move& move, const move_plan& plan, double request_rate) {
    if (plan.feasible) {
        return absl::OkStatus();
    }
    if (request_rate <= 0.0) {
        return absl::FailedPreconditionError(
            absl::StrCat("service '", move.service.str(),
                         "' has no traffic now, so that no due time can be promised"));
    }
    const absl::Time earliest = absl::FromUnixMillis(plan.earliest_due.time_since_epoch().count());
    return absl::FailedPreconditionError(
        absl::StrCat("the due time cannot be met at ", absl::StrFormat("%.1f", request_rate),
                     " requests a second; the earliest is ",
                     absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", earliest, absl::UTCTimeZone())));
}

} // namespace jujubetide
