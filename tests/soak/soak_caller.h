#pragma once

#include "soak/soak_report.h"

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/net/event_loop.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

class soak_caller_session;

struct soak_caller_settings {
    std::string name;
    std::vector<endpoint> nodes;
    /// The first parts of the paths that are called, which are the names of the routes.
    std::vector<std::string> routes;
    std::size_t connections = 8;
    std::uint64_t seed = 1;
};

/// Callers of the nodes after the users' protocol: each attempt has an id of its own, which begins
/// with its route's name.
class soak_caller {
public:
    /// InvalidArgument without nodes or routes.
    static absl::StatusOr<std::unique_ptr<soak_caller>>
    make(event_loop& loop, soak_caller_settings settings, const soak_report& report);
    ~soak_caller();
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;

    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] bool chance(std::uint64_t percent) { return random_.below(100) < percent; }
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return random_.below(bound); }
    [[nodiscard]] const endpoint& some_node();
    [[nodiscard]] const std::string& some_route();
    [[nodiscard]] std::string next_id(const std::string& route);
    /// From now on, no request begins.
    void stop() { is_stopping_ = true; }
    [[nodiscard]] bool is_stopping() const { return is_stopping_; }
    void report(const std::string& line) const { report_.write(line); }

private:
    soak_caller(event_loop& loop, soak_caller_settings settings, const soak_report& report);

    event_loop& loop_;
    soak_caller_settings settings_;
    const soak_report& report_;
    seeded_random random_;
    int attempts_ = 0;
    bool is_stopping_ = false;
    std::vector<std::unique_ptr<soak_caller_session>> sessions_;
};

} // namespace jujubetide
