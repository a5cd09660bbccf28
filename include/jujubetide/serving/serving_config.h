#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubetide {

/// Whether a call of a route may be run again.
enum class call_kind {
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Answered with a stream of events; runs at most once unless the route is resumable.
    streaming,
};

struct weighted_service {
    service_id service;
    double weight = 1.0;
};

struct serving_route {
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::non_idempotent;
    /// Maximum duration of a call.
    millis timeout{30'000};
    /// Expected time to the answer, or to the first event of a stream.
    millis target{1'000};
    /// Maximum expected time between two events of a stream.
    millis max_event_gap{500};
    /// 0 is the most urgent.
    int priority = 5;
    /// Maximum number of backend servers to which one call is sent.
    int max_attempts = 1;
    /// Whether calls need no customer key.
    bool is_public = false;
    /// Whether a broken stream may be continued by another backend server.
    bool is_resumable = false;
    /// At least one.
    std::vector<weighted_service> services;
};

/// What copying cached tokens from one engine to another takes.
struct engine_cache_link {
    std::uint64_t bytes_per_token = 0;
    double bits_per_second = 0.0;

    [[nodiscard]] double bits_per_token() const {
        constexpr double bits_per_byte = 8.0;
        return static_cast<double>(bytes_per_token) * bits_per_byte;
    }
};

/// Capabilities of the model engines of a service.
struct engine_traits {
    std::size_t slots = 1;
    token_count kv_tokens;
    /// Tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    /// Absent if the engines do not copy cached tokens from each other.
    std::optional<engine_cache_link> cache_link = std::nullopt;
};

/// What a server of a service stands while it is cold.
struct cold_traits {
    /// From all nodes.
    double calls_per_second = 0.0;
    /// Time for which a server is cold after its start.
    millis duration{0};
};

/// Limits on the backend servers ordered for a service, in each failure domain.
struct scaling_limits {
    unsigned min = 0;
    unsigned max = 0;
    /// Time from the order until the server accepts calls.
    millis boot_time{0};
    /// Price of a reclaimable server relative to the regular price; absent if there are none.
    std::optional<double> reclaimable_price;
    /// Price of a server per second.
    std::map<failure_domain_id, double> prices;
};

struct serving_service {
    service_id id;
    std::string health_path;
    /// Connections that a backend server accepts in total.
    std::size_t max_connections = 0;
    /// Absent if cold servers need no bound.
    std::optional<cold_traits> cold;
    /// Absent for plain services.
    std::optional<engine_traits> engine;
    std::optional<scaling_limits> scaling;
};

struct serving_customer {
    customer_id id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// Usage cap; 0 means no cap.
    double cap_per_second = 0.0;
    double cap_burst = 0.0;
    /// Whether the cap counts tokens rather than calls.
    bool cap_in_tokens = false;
    /// Usage charged for a call without a token count.
    double plain_usage = 1.0;
};

struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4U << 20U;
    millis header_timeout{3'000};
    millis idle_timeout{15'000};
};

/// The operators' configuration at one version. Immutable.
class serving_config {
public:
    struct parts {
        std::uint64_t version = 0;
        std::vector<serving_route> routes;
        std::vector<serving_service> services;
        std::vector<serving_customer> customers;
        caller_limits limits;
    };

    static std::shared_ptr<const serving_config> make(parts checked_parts);

    [[nodiscard]] std::uint64_t version() const { return parts_.version; }
    [[nodiscard]] const std::vector<serving_route>& routes() const { return parts_.routes; }
    [[nodiscard]] const std::vector<serving_service>& services() const { return parts_.services; }
    [[nodiscard]] const std::vector<serving_customer>& customers() const {
        return parts_.customers;
    }
    [[nodiscard]] const caller_limits& limits() const { return parts_.limits; }

    /// The route of `host` with the longest prefix of the path of `target`, or null.
    [[nodiscard]] const serving_route* find_route(std::string_view host,
                                                  std::string_view target) const;
    [[nodiscard]] const serving_service* find_service(const service_id& id) const;
    /// The customer that owns the key, or null.
    [[nodiscard]] const serving_customer* find_customer_by_key(std::string_view key) const;

private:
    explicit serving_config(parts checked_parts);

    parts parts_;
    /// Index into the routes, by host and prefix.
    absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, std::size_t>> routes_;
    absl::flat_hash_map<std::string, std::size_t> keys_;
};

using serving_config_ptr = std::shared_ptr<const serving_config>;

} // namespace jujubetide
