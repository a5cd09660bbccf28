#pragma once

#include "jujubetide/serving/backend_list.h"
#include "jujubetide/serving/serving_config.h"
#include "jujubetide/serving/version_trials.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujubetide {

/// Decodes the rows that operators and backend servers write into the store. InvalidArgument if a
/// row is malformed; other writers than this system may have written it.
class row_decoder {
public:
    virtual ~row_decoder() = default;
    [[nodiscard]] absl::StatusOr<serving_config::parts> config(const std::string& value) const {
        return do_config(value);
    }
    [[nodiscard]] absl::StatusOr<backend_server> registration(const backend_server_id& id,
                                                              const std::string& value) const {
        return do_registration(id, value);
    }
    /// Decodes the operators' order in a row of the configuration's table whose key begins with
    /// `move_order_prefix`.
    [[nodiscard]] absl::StatusOr<move_order> order(const std::string& value) const {
        return do_order(value);
    }

protected:
    row_decoder() = default;
    row_decoder(const row_decoder&) = default;
    row_decoder& operator=(const row_decoder&) = default;
    [[nodiscard]] virtual absl::StatusOr<serving_config::parts>
    do_config(const std::string& value) const = 0;
    [[nodiscard]] virtual absl::StatusOr<backend_server>
    do_registration(const backend_server_id& id, const std::string& value) const = 0;
    [[nodiscard]] virtual absl::StatusOr<move_order> do_order(const std::string& value) const = 0;
};

/// Names of the tables in which the platform keeps the configuration and the registrations.
struct platform_table_names {
    std::string config_table;
    std::string config_key;
    std::string registration_table;
    /// The keys of the configuration's table that begin so hold orders to move a service; the
    /// service's id follows.
    std::string move_order_prefix;
    /// Those that begin so evacuate a failure domain for as long as they exist; its id follows.
    std::string evacuation_prefix;
};

} // namespace jujubetide
