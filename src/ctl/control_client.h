#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/settings/settings_parser.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubetide {

/// The documents that an operator sees.
struct settings_view {
    revision at;
    /// "table", or "memory" while the table is down.
    std::string source;
    settings_documents documents;
};

struct apply_request {
    change_id change;
    revision expected;
    std::string comment;
    std::map<std::string, std::optional<std::string>> edits;
};

struct apply_answer {
    revision accepted;
    revision newest;
};

/// Calls the operators' interface of the control processes. Calls block.
///
/// Errors: InvalidArgument (with every finding), PermissionDenied, Aborted (conflict), NotFound,
/// Unavailable (nothing was done), DeadlineExceeded (may have been done), Internal.
class control_client {
public:
    /// `servers` are tried in order until one can be reached.
    control_client(std::vector<endpoint> servers, std::string key)
        : servers_(std::move(servers)), key_(std::move(key)) {}

    [[nodiscard]] absl::StatusOr<settings_view> settings() const;
    /// Checks edits against the settings in force; InvalidArgument with every finding.
    [[nodiscard]] absl::Status
    check(const std::map<std::string, std::optional<std::string>>& edits) const;
    /// Submits the change, again with the same id where a reply is lost.
    [[nodiscard]] absl::StatusOr<apply_answer> apply(const apply_request& request) const;
    /// Any other call; the answer's JSON.
    [[nodiscard]] absl::StatusOr<nlohmann::json>
    call(const std::string& method, const std::string& target, const std::string& body = "") const;

private:
    std::vector<endpoint> servers_;
    std::string key_;
};

} // namespace jujubetide
