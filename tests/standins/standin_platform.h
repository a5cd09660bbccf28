#pragma once

#include "standins/standin_cloud.h"
#include "standins/standin_http.h"
#include "standins/standin_table.h"

#include "jujubetide/base/endpoint.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http/http_server.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <string>

namespace jujubetide {

struct standin_platform_options {
    /// Port 0 takes a free port.
    endpoint listen{"127.0.0.1", 0};
    std::vector<listed_host> hosts;
    std::vector<host_price> prices;
};

/// The platform's table, object store, cloud and list of hosts over HTTP. Each fault can be
/// switched by a method or by `POST /faults` with
/// `{"table_down": bool, "cloud_down": bool, "slow_ms": n, "drop_commit_replies": n,
///   "host_list_lag_ms": n, "refuse_starts": bool}`. Thread-safe.
class standin_platform {
public:
    static absl::StatusOr<std::unique_ptr<standin_platform>>
    make(const standin_platform_options& options);
    ~standin_platform();
    standin_platform(const standin_platform&) = delete;
    standin_platform& operator=(const standin_platform&) = delete;

    [[nodiscard]] const endpoint& address() const { return server_->address(); }

    /// The state behind the HTTP, free of the faults below but those of the cloud itself.
    standin_table& direct_table() { return table_; }
    standin_cloud& direct_cloud() { return cloud_; }

    /// Table and object store refuse every call with 503; nothing is applied.
    void set_table_down(bool down) { table_down_ = down; }
    /// Cloud and list of hosts refuse every call with 503.
    void set_cloud_down(bool down) { cloud_down_ = down; }
    /// Delays the reply of every call of table and object store.
    void set_slow(millis delay) { slow_ = delay.count(); }
    /// Applies the next `count` commits but closes the connection without a reply.
    void drop_commit_replies(int count) { drop_commit_replies_ = count; }
    void set_host_list_lag(millis lag) { cloud_.set_list_lag(lag); }
    void set_refuse_starts(bool refuse) { cloud_.set_refuse_starts(refuse); }
    void reclaim_host(const host_id& host, millis time_left) {
        cloud_.reclaim_host(host, time_left);
    }
    void reclaim_domain(const failure_domain_id& failure_domain, millis time_left) {
        cloud_.reclaim_domain(failure_domain, time_left);
    }

private:
    explicit standin_platform(const standin_platform_options& options);
    void add_routes(httplib::Server& routes);
    void add_table_routes(httplib::Server& routes);
    void add_object_routes(httplib::Server& routes);
    void add_cloud_routes(httplib::Server& routes);
    void add_control_routes(httplib::Server& routes);
    /// Delays and refuses as the faults say; returns whether the call may go on.
    bool table_serves(httplib::Response& response);
    bool cloud_serves(httplib::Response& response) const;
    void get(const nlohmann::json& body, httplib::Response& response);
    void scan(const nlohmann::json& body, httplib::Response& response);
    void commit(const nlohmann::json& body, httplib::Response& response);
    void start(const nlohmann::json& body, httplib::Response& response);
    void set_faults(const nlohmann::json& body);
    [[nodiscard]] bool take_dropped_reply();

    boot_clock clock_;
    standin_table table_;
    /// Objects by name.
    standin_table objects_;
    standin_cloud cloud_;
    std::atomic<bool> table_down_{false};
    std::atomic<bool> cloud_down_{false};
    std::atomic<std::int64_t> slow_{0};
    std::atomic<int> drop_commit_replies_{0};
    std::mutex stop_mutex_;
    std::condition_variable stop_changed_;
    bool stopping_ = false;
    std::unique_ptr<http_server> server_;
};

} // namespace jujubetide
