#include "soak/soak_caller.h"

#include "soak/soak_caller_session.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {

absl::StatusOr<std::unique_ptr<soak_caller>>
soak_caller::make(event_loop& loop, soak_caller_settings settings, const soak_report& report) {
    if (settings.nodes.empty() || settings.routes.empty()) {
        return absl::InvalidArgumentError("a caller needs nodes and routes");
    }
    return std::unique_ptr<soak_caller>(new soak_caller(loop, std::move(settings), report));
}

soak_caller::soak_caller(event_loop& loop, soak_caller_settings settings, const soak_report& report)
    : loop_(loop), settings_(std::move(settings)), report_(report), random_(settings_.seed) {
    for (std::size_t i = 0; i < settings_.connections; ++i) {
        sessions_.push_back(std::make_unique<soak_caller_session>(*this));
    }
}

soak_caller::~soak_caller() = default;

const endpoint& soak_caller::some_node() {
    return settings_.nodes[below(settings_.nodes.size())];
}

const std::string& soak_caller::some_route() {
    return settings_.routes[below(settings_.routes.size())];
}

std::string soak_caller::next_id(const std::string& route) {
    return absl::StrCat(route, ".", settings_.name, ".", ++attempts_);
}

} // namespace jujubetide
