#pragma once

#include "jujubetide/http1/header_list.h"

#include <absl/container/flat_hash_set.h>

#include <string>
#include <string_view>

namespace jujubetide {

/// The options that a message's Connection fields list. A header field of the name of an option
/// applies to a single connection only (RFC 9110, section 7.6.1).
class connection_options {
public:
    explicit connection_options(const header_list& headers);

    /// Whether `name`, in any case, is an option.
    [[nodiscard]] bool contains(std::string_view name) const;

private:
    /// In lower case.
    absl::flat_hash_set<std::string> names_;
};

} // namespace jujubetide
