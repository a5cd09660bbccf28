#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace jujubetide {

/// The `NAME=VALUE` arguments of a stand-in process.
class soak_options {
public:
    soak_options(int count, char** arguments);

    [[nodiscard]] std::string text(const std::string& name) const;
    /// The number, or `default_value` where the argument is missing or no number.
    [[nodiscard]] std::uint64_t number(const std::string& name, std::uint64_t default_value) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace jujubetide
