#include "control/status_handler.h"

#include "control/answers.h"
#include "control/move_codec.h"
#include "control/status_report.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <array>

namespace jujubetide {
namespace {

using nlohmann::json;

const char* health_name(member_health health) {
    constexpr std::array<const char*, 3> names{"alive", "suspected", "dead"};
    return names.at(static_cast<std::size_t>(health));
}

json to_json(const revision_report& report) {
    json behind = json::array();
    for (const node_behind& node : report.behind) {
        behind.push_back({{"node", node.node.str()},
                          {"revision", node.settings.value()},
                          {"health", health_name(node.health)}});
    }
    return {{"revision", report.at.value()},
            {"in_force", report.in_force},
            {"nodes", report.nodes},
            {"behind", behind}};
}

json to_json(const backend_report& report) {
    return {{"id", report.id.str()},
            {"version", report.version.str()},
            {"address", report.address.str()},
            {"failure_domain", report.failure_domain.str()},
            {"leaving", report.leaving},
            {"running", report.running},
            {"consecutive_failures", report.consecutive_failures}};
}

json to_json(const service_report& report) {
    json backends = json::array();
    for (const backend_report& backend : report.backends) {
        backends.push_back(to_json(backend));
    }
    return {{"team", report.team.str()},
            {"id", report.id.str()},
            {"version", report.version.str()},
            {"move", report.move ? json::parse(tell_move(*report.move)) : json(nullptr)},
            {"backends", backends}};
}

} // namespace

void status_handler::add_routes(httplib::Server& routes) {
    routes.Get("/v1/status",
               [this](const auto& request, auto& response) { read(request, response); });
}

// Without a change the newest revision is that of the table, or the known one while it is down.
absl::StatusOr<revision> status_handler::asked_revision(const std::string& change) const {
    if (change.empty()) {
        const absl::StatusOr<revision> newest = parts_.settings.newest();
        const revision known = parts_.boards.settings.current()->at();
        return newest.ok() ? std::max(*newest, known) : known;
    }
    const auto recorded = parts_.settings.revision_of(change_id(change));
    if (!recorded.ok()) {
        return recorded.status();
    }
    if (!*recorded) {
        return absl::NotFoundError(absl::StrCat("change '", change, "' was not accepted"));
    }
    return **recorded;
}

void status_handler::read(const httplib::Request& request, httplib::Response& response) {
    const auto reader = gate_.admit(request, response);
    if (!reader) {
        return;
    }
    const absl::StatusOr<revision> asked = asked_revision(request.get_param_value("change"));
    if (!asked.ok()) {
        return set_error(response, asked.status());
    }
    json services = json::array();
    for (const service_report& report : report_services(parts_.boards, *reader)) {
        services.push_back(to_json(report));
    }
    set_json(response, {{"settings", to_json(report_revision(parts_.boards.members, *asked))},
                        {"known_revision", parts_.boards.settings.current()->at().value()},
                        {"services", services}});
}

} // namespace jujubetide
