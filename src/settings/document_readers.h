#pragma once

#include "settings/document_path.h"
#include "settings/yaml_reader.h"

#include "jujubetide/settings/settings_snapshot.h"

namespace jujubetide {

/// Each reads one document whose path has been parsed; faults go to the reader's findings.
service_settings read_service(yaml_reader& reader, const document_path& path);
customer_settings read_customer(yaml_reader& reader, const document_path& path);
backend_server_settings read_backend_server(yaml_reader& reader, const document_path& path);
operator_settings read_operator(yaml_reader& reader, const document_path& path);
fleet_settings read_fleet(yaml_reader& reader);
/// Reads one entry of the fleet's `classes` or `demands`.
fleet_class_settings read_fleet_class(yaml_reader& reader);
fleet_demand_settings read_fleet_demand(yaml_reader& reader);
/// Reads one entry of a service's `routes`.
route_settings read_route(yaml_reader& reader, service_kind kind);

} // namespace jujubetide
