#include "jujubetide/serving/serving_config.h"

#include <absl/strings/ascii.h>

#include <utility>

namespace jujubetide {

std::shared_ptr<const serving_config> serving_config::make(parts checked_parts) {
    return std::shared_ptr<const serving_config>(new serving_config(std::move(checked_parts)));
}

serving_config::serving_config(parts checked_parts) : parts_(std::move(checked_parts)) {
    for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
        const serving_route& route = parts_.routes[i];
        routes_[absl::AsciiStrToLower(route.host)][route.prefix] = i;
    }
    for (std::size_t i = 0; i < parts_.customers.size(); ++i) {
        for (const std::string& key : parts_.customers[i].keys) {
            keys_[key] = i;
        }
    }
}

const serving_route* serving_config::find_route(std::string_view host,
                                                std::string_view target) const {
    const auto of_host =
        routes_.find(absl::AsciiStrToLower(absl::string_view(host.data(), host.size())));
    if (of_host == routes_.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    // Every prefix ends with a slash, so only prefixes that end at a slash of the path are looked
    // up, longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/')) {
        path = path.substr(0, slash + 1);
        const auto found = of_host->second.find(std::string(path));
        if (found != of_host->second.end()) {
            return &parts_.routes[found->second];
        }
        path.remove_suffix(1);
    }
    return nullptr;
}

const serving_service* serving_config::find_service(const service_id& id) const {
    for (const serving_service& service : parts_.services) {
        if (service.id == id) {
            return &service;
        }
    }
    return nullptr;
}

const serving_customer* serving_config::find_customer_by_key(std::string_view key) const {
    const auto found = keys_.find(std::string(key));
    return found == keys_.end() ? nullptr : &parts_.customers[found->second];
}

} // namespace jujubetide
