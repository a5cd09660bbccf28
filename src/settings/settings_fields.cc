// The readers themselves tell which fields they know: each reads an empty document and leaves the
// names that it asked for.
#include "settings/settings_fields.h"

#include "settings/document_readers.h"
#include "settings/process_reader.h"

namespace jujubetide {

std::set<std::string> fields_of(const std::string& kind) {
    findings ignored;
    yaml_reader reader(YAML::Node(YAML::NodeType::Map), "", "", ignored);
    const document_path nowhere;
    if (kind == "service") {
        read_service(reader, nowhere);
    } else if (kind == "model route") {
        read_route(reader, service_kind::model);
    } else if (kind == "plain route") {
        read_route(reader, service_kind::plain);
    } else if (kind == "customer") {
        read_customer(reader, nowhere);
    } else if (kind == "backend") {
        read_backend_server(reader, nowhere);
    } else if (kind == "operator") {
        read_operator(reader, nowhere);
    } else if (kind == "fleet") {
        read_fleet(reader);
    } else if (kind == "fleet class") {
        read_fleet_class(reader);
    } else if (kind == "fleet demand") {
        read_fleet_demand(reader);
    } else if (kind == "process") {
        read_process(reader);
    }
    return reader.known();
}

} // namespace jujubetide
