#include "jujubetide/platform/http_cloud.h"

#include "platform/platform_call.h"

namespace jujubetide {
namespace {

reclaim_notice read_notice(const nlohmann::json& notice) {
    return {host_id(notice.at("host").get<std::string>()),
            failure_domain_id(notice.at("failure_domain").get<std::string>()),
            millis{notice.at("time_left_ms").get<std::int64_t>()}};
}

host_price read_price(const nlohmann::json& price) {
    return {host_class_id(price.at("host_class").get<std::string>()),
            failure_domain_id(price.at("failure_domain").get<std::string>()),
            price.at("reclaimable").get<bool>(),
            micro_price(price.at("micro_price").get<std::uint64_t>())};
}

} // namespace

absl::StatusOr<host_id> http_cloud::do_start(const host_start& request) {
    const auto reply = platform_json_call(platform_, "POST", "/v1/cloud/start",
                                          {{"start_id", request.start_id},
                                           {"host_class", request.host_class.str()},
                                           {"failure_domain", request.failure_domain.str()},
                                           {"reclaimable", request.reclaimable}},
                                          timeouts_);
    if (!reply.ok()) {
        return reply.status();
    }
    return read_reply(*reply, [](const nlohmann::json& body) {
        return host_id(body.at("host").get<std::string>());
    });
}

absl::Status http_cloud::do_stop(const host_id& host) {
    return platform_json_call(platform_, "POST", "/v1/cloud/stop", {{"host", host.str()}},
                              timeouts_)
        .status();
}

absl::StatusOr<std::vector<reclaim_notice>> http_cloud::do_reclaim_notices() {
    return platform_list_call(platform_, "/v1/cloud/reclaim_notices", timeouts_, read_notice);
}

absl::StatusOr<std::vector<host_price>> http_cloud::do_prices() {
    return platform_list_call(platform_, "/v1/cloud/prices", timeouts_, read_price);
}

} // namespace jujubetide
