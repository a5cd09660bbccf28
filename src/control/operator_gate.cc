#include "control/operator_gate.h"

#include "control/control_events.h"

#include "jujubetide/http/problem.h"
#include "jujubetide/settings/sha256.h"

#include <httplib.h>

namespace jujubetide {
namespace {

constexpr millis retry_after_start{1'000};
const std::string bearer = "Bearer ";

std::string key_hash_of(const httplib::Request& request) {
    const std::string header = request.get_header_value("Authorization");
    return header.starts_with(bearer) ? sha256_hex(header.substr(bearer.size())) : std::string();
}

void refuse_key(httplib::Response& response) {
    problem error;
    error.status = 401;
    error.code = "unknown_key";
    error.detail = "the request needs the bearer key of an operator";
    response.set_header("WWW-Authenticate", "Bearer");
    set_problem(response, error);
}

void refuse_without_settings(httplib::Response& response) {
    problem error;
    error.status = 503;
    error.code = "no_settings_yet";
    error.detail = "this process has not read the settings yet";
    error.retry_after = retry_after_start;
    set_problem(response, error);
}

} // namespace

std::optional<operator_settings> operator_gate::admit(const httplib::Request& request,
                                                      httplib::Response& response) const {
    const snapshot_ptr settings = parts_.boards.settings.current();
    if (!settings) {
        refuse_without_settings(response);
        return std::nullopt;
    }
    const std::string hash = key_hash_of(request);
    if (settings->operators().empty() && !hash.empty() && hash == parts_.bootstrap_key_sha256) {
        return operator_settings{operator_id("bootstrap"), hash, {"/"}};
    }
    for (const operator_settings& person : settings->operators()) {
        if (person.key_sha256 == hash) {
            return person;
        }
    }
    parts_.log.write(key_refused, {{"address", request.remote_addr}, {"path", request.path}});
    refuse_key(response);
    return std::nullopt;
}

} // namespace jujubetide
