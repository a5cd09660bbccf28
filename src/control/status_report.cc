#include "control/status_report.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jujubetide {
namespace {

backend_report report_backend(const blackboard& boards, const backend_server_settings& server) {
    const backend_state state = boards.backends.state(server.id);
    backend_report report;
    report.id = server.id;
    report.version = server.version;
    report.address = server.address;
    report.failure_domain = server.failure_domain;
    report.leaving = boards.backends.is_leaving(server.host);
    report.running = state.load.running;
    report.consecutive_failures = state.consecutive_failures;
    return report;
}

} // namespace

revision_report report_revision(const member_board& members, revision at) {
    revision_report report;
    report.at = at;
    for (const member& node : members.all()) {
        if (node.health == member_health::dead) {
            continue;
        }
        ++report.nodes;
        if (node.settings >= at) {
            ++report.in_force;
        } else {
            report.behind.push_back({node.node, node.settings, node.health});
        }
    }
    return report;
}

std::vector<service_report> report_services(const blackboard& boards,
                                            const operator_settings& reader) {
    std::vector<service_report> reports;
    const snapshot_ptr settings = boards.settings.current();
    for (const service_settings& service : settings->services()) {
        const std::string path =
            absl::StrCat("/teams/", service.team.str(), "/services/", service.id.str());
        if (!covers(reader, path)) {
            continue;
        }
        service_report report{
            service.team, service.id, service.version, boards.moves.of_service(service.id), {}};
        for (const backend_server_settings* server : settings->servers_of(service.id)) {
            report.backends.push_back(report_backend(boards, *server));
        }
        reports.push_back(std::move(report));
    }
    std::sort(reports.begin(), reports.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return reports;
}

} // namespace jujubetide
