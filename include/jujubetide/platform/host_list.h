#pragma once

#include "jujubetide/base/ids.h"

#include <absl/status/statusor.h>

#include <vector>

namespace jujubetide {

struct listed_host {
    host_id host;
    failure_domain_id failure_domain;
    host_class_id host_class;
    bool reclaimable = false;
    bool leaving = false;
};

/// The platform's list of live and leaving hosts. It lags behind the truth. Thread-safe; calls
/// block. Errors as for `table`.
class host_list {
public:
    virtual ~host_list() = default;
    [[nodiscard]] absl::StatusOr<std::vector<listed_host>> list() { return do_list(); }

protected:
    host_list() = default;
    host_list(const host_list&) = default;
    host_list& operator=(const host_list&) = default;
    virtual absl::StatusOr<std::vector<listed_host>> do_list() = 0;
};

} // namespace jujubetide
