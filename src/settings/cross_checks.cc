// Callers name a service by its id alone, and loads, orders and moves name backend servers and
// services likewise; ids of services, backend servers and customers are therefore unique over all
// teams, not only inside one. The alternative, ids qualified by team everywhere, would lengthen
// every address and message for a rule that operators meet once.
#include "settings/cross_checks.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <string>

namespace jujubetide {
namespace {

std::string team_path(const team_id& team, const std::string& folder, const std::string& name) {
    return absl::StrCat("/teams/", team.str(), "/", folder, "/", name);
}

/// Finds values that may stand only once.
class uniqueness {
public:
    uniqueness(std::string what, findings& found) : what_(std::move(what)), found_(found) {}

    void add(const std::string& value, const std::string& path, const std::string& field) {
        if (value.empty()) {
            return;
        }
        const auto [first, fresh] = paths_.emplace(value, path);
        if (!fresh) {
            found_.add({path, 0, field}, absl::StrCat(what_, " is also that of ", first->second));
        }
    }

private:
    std::string what_;
    findings& found_;
    std::map<std::string, std::string> paths_;
};

/// Teams of the services, by service id.
using service_teams = std::map<service_id, team_id>;

void check_service_of(const service_teams& teams, const service_id& service, const team_id& team,
                      const std::string& path, const std::string& field, findings& found) {
    if (service.empty()) {
        return;
    }
    const auto known = teams.find(service);
    if (known == teams.end() || known->second != team) {
        found.add({path, 0, field},
                  absl::StrCat("team '", team.str(), "' has no service '", service.str(), "'"));
    }
}

service_teams check_services(const settings_snapshot::parts& parts, findings& found) {
    service_teams teams;
    uniqueness ids("the service id", found);
    for (const service_settings& service : parts.services) {
        ids.add(service.id.str(), team_path(service.team, "services", service.id.str()), "");
        teams.emplace(service.id, service.team);
    }
    return teams;
}

void check_backend_servers(const settings_snapshot::parts& parts, const service_teams& teams,
                           findings& found) {
    uniqueness ids("the backend server id", found);
    uniqueness addresses("the address", found);
    for (const backend_server_settings& server : parts.backend_servers) {
        const std::string path = team_path(server.team, "backends", server.id.str());
        ids.add(server.id.str(), path, "");
        addresses.add(server.address.port == 0 ? "" : server.address.str(), path, "address");
        check_service_of(teams, server.service, server.team, path, "service", found);
    }
}

void check_customers(const settings_snapshot::parts& parts, const service_teams& teams,
                     uniqueness& keys, findings& found) {
    uniqueness ids("the customer id", found);
    for (const customer_settings& customer : parts.customers) {
        const std::string path = team_path(customer.team, "customers", customer.id.str());
        ids.add(customer.id.str(), path, "");
        keys.add(customer.key_sha256, path, "key_sha256");
        for (const service_id& service : customer.services) {
            check_service_of(teams, service, customer.team, path, "services", found);
        }
    }
}

/// The time and memory of a plan grow with the hosts of a service.
void check_fleet_size(const fleet_settings& fleet, const fleet_demand_settings& demand,
                      const std::string& path, findings& found) {
    constexpr double most_hosts = 10'000.0;
    for (const fleet_class_settings& each : fleet.classes) {
        if (demand.work_rate > most_hosts * each.work_rate * demand.max_utilisation) {
            found.add({path, 0, "demands"},
                      absl::StrCat("the demand of '", demand.service.str(), "' needs more than ",
                                   most_hosts, " hosts of class '", each.id.str(), "'"));
        }
    }
}

void check_fleet(const fleet_settings& fleet, const service_teams& teams, findings& found) {
    const std::string path = "/fleet/hosts";
    uniqueness classes("the class", found);
    for (const fleet_class_settings& each : fleet.classes) {
        classes.add(each.id.str(), path, "classes");
    }
    uniqueness demands("the demand's service", found);
    for (const fleet_demand_settings& each : fleet.demands) {
        demands.add(each.service.str(), path, "demands");
        if (!each.service.empty() && !teams.contains(each.service)) {
            found.add({path, 0, "demands"},
                      absl::StrCat("there is no service '", each.service.str(), "'"));
        }
        check_fleet_size(fleet, each, path, found);
    }
}

} // namespace

void check_across_documents(const settings_snapshot::parts& parts, findings& found) {
    const service_teams teams = check_services(parts, found);
    check_backend_servers(parts, teams, found);
    uniqueness keys("the key", found);
    check_customers(parts, teams, keys, found);
    if (parts.fleet) {
        check_fleet(*parts.fleet, teams, found);
    }
    for (const operator_settings& person : parts.operators) {
        keys.add(person.key_sha256, absl::StrCat("/operators/", person.id.str()), "key_sha256");
    }
}

} // namespace jujubetide
