#include "jujubetide/settings/settings_parser.h"

#include "settings/cross_checks.h"
#include "settings/document_path.h"
#include "settings/document_readers.h"

#include <map>
#include <optional>
#include <utility>

namespace jujubetide {
namespace {

void read_document(yaml_reader& reader, const document_path& path,
                   settings_snapshot::parts& parts) {
    switch (path.kind) {
    case document_kind::service:
        parts.services.push_back(read_service(reader, path));
        return;
    case document_kind::customer:
        parts.customers.push_back(read_customer(reader, path));
        return;
    case document_kind::backend_server:
        parts.backend_servers.push_back(read_backend_server(reader, path));
        return;
    case document_kind::operator_document:
        parts.operators.push_back(read_operator(reader, path));
        return;
    case document_kind::fleet:
        parts.fleet = read_fleet(reader);
        return;
    }
}

void parse_document(const std::string& path, const std::string& text,
                    settings_snapshot::parts& parts, findings& found) {
    const std::optional<document_path> parsed = parse_document_path(path);
    if (!parsed) {
        found.add({path, 0, ""}, "is not a settings path, such as /teams/TEAM/services/NAME, "
                                 "/teams/TEAM/customers/NAME, /teams/TEAM/backends/NAME, "
                                 "/operators/NAME or /fleet/hosts");
        return;
    }
    const YAML::Node map = parse_yaml_map(text, path, found);
    if (map.IsMap()) {
        yaml_reader reader(map, path, "", found);
        read_document(reader, *parsed, parts);
    }
}

} // namespace

snapshot_ptr parse_settings(const settings_documents& documents, revision at, findings& found) {
    settings_snapshot::parts parts;
    parts.at = at;
    findings own;
    // The order of the paths makes findings and snapshots the same at every node.
    const std::map<std::string, std::string> ordered(documents.begin(), documents.end());
    for (const auto& [path, text] : ordered) {
        parse_document(path, text, parts, own);
    }
    check_across_documents(parts, own);
    found.append(own);
    if (!own.empty()) {
        return nullptr;
    }
    parts.documents = documents;
    return settings_snapshot::make(std::move(parts));
}

} // namespace jujubetide
