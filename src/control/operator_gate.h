#pragma once

#include "control/control_parts.h"

#include "jujubetide/settings/settings_snapshot.h"

#include <optional>
#include <string>

namespace httplib {
struct Request;  // NOLINT(readability-identifier-naming)
struct Response; // NOLINT(readability-identifier-naming)
} // namespace httplib

namespace jujubetide {

/// Tells who calls. Thread-safe.
class operator_gate {
public:
    explicit operator_gate(const control_parts& parts) : parts_(parts) {}

    /// The operator whose bearer key the request holds; otherwise fills in the refusal and returns
    /// nothing. While no operator is declared, the bootstrap key stands for an operator of every
    /// path.
    [[nodiscard]] std::optional<operator_settings> admit(const httplib::Request& request,
                                                         httplib::Response& response) const;

private:
    const control_parts& parts_;
};

} // namespace jujubetide
