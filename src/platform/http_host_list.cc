#include "jujubetide/platform/http_host_list.h"

#include "platform/platform_call.h"

namespace jujubetide {
namespace {

listed_host read_host(const nlohmann::json& host) {
    return {host_id(host.at("host").get<std::string>()),
            failure_domain_id(host.at("failure_domain").get<std::string>()),
            host_class_id(host.at("host_class").get<std::string>()),
            host.at("reclaimable").get<bool>(), host.at("leaving").get<bool>()};
}

} // namespace

absl::StatusOr<std::vector<listed_host>> http_host_list::do_list() {
    return platform_list_call(platform_, "/v1/hosts", timeouts_, read_host);
}

} // namespace jujubetide
