#include "soak/soak_options.h"

#include <absl/strings/numbers.h>

namespace jujubetide {

soak_options::soak_options(int count, char** arguments) {
    for (int i = 0; i < count; ++i) {
        const std::string argument = arguments[i];
        const std::size_t split = argument.find('=');
        if (split != std::string::npos) {
            values_[argument.substr(0, split)] = argument.substr(split + 1);
        }
    }
}

std::string soak_options::text(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? "" : found->second;
}

std::uint64_t soak_options::number(const std::string& name, std::uint64_t default_value) const {
    std::uint64_t value = 0;
    return absl::SimpleAtoi(text(name), &value) ? value : default_value;
}

} // namespace jujubetide
