#pragma once

#include "platform/call_headers.h"
#include "platform/row_codec.h"
#include "support/fake_row_store.h"
#include "support/loop_runner.h"
#include "support/recorded_call.h"
#include "support/scripted_server.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/node/node.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// Records log lines.
class recorded_log final : public log_sink {
public:
    struct line {
        std::string name;
        std::map<std::string, std::string> fields;
    };
    std::vector<line> lines;
    /// If set, receives every line as well.
    log_sink* also_to = nullptr;
    [[nodiscard]] int count(const std::string& name) const;

protected:
    void do_write(const log_event& event, std::initializer_list<log_field> fields) override;
};

/// Records the calls to the platform.
class recorded_platform_api final : public platform_api {
public:
    struct report {
        authority by;
        usage_window window;
        usage_counts counts;
    };
    std::vector<report> reports;
    std::vector<server_order> orders;
    absl::Status answer;

protected:
    void do_report_usage(const authority& by, usage_window window, const usage_counts& counts,
                         handler done) override {
        reports.push_back({by, window, counts});
        done(answer);
    }
    void do_order_servers(const authority&, const server_order& order, handler done) override {
        orders.push_back(order);
        done(answer);
    }
};

/// One node on the test's event loop, with a fake store and scripted backend servers.
struct node_fixture {
    node_fixture();
    ~node_fixture();
    node_fixture(const node_fixture&) = delete;
    node_fixture& operator=(const node_fixture&) = delete;

    /// Applies a configuration with the routes `/once/`, `/often/`, `/stream/` and `/resumed/`,
    /// with `route_changes` to their fields, and waits until it is in force.
    void start(const nlohmann::json& route_changes = nlohmann::json::object());
    /// Registers a server of the service `plain` or `model` that runs `script` for each call.
    scripted_server& add_server(const std::string& id, const std::string& service,
                                scripted_server::script script);
    /// Sends a request with `headers` and, unless they have one, the customer's key.
    std::unique_ptr<http1_call> send(const std::string& path, recorded_call& events,
                                     const header_list& headers = {});
    /// Sends a request as `send` does and waits for its end.
    recorded_call call(const std::string& path, const header_list& headers = {});

    event_loop loop;
    boot_clock time;
    seeded_random random{1};
    recorded_log log;
    platform::call_headers headers;
    platform::row_codec rows;
    fake_row_store store{loop};
    recorded_platform_api calls;
    std::unique_ptr<node> tested;
    http1_client client{loop, time};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::uint64_t config_version = 1;
};

/// A configuration with the routes `/once/`, `/often/`, `/stream/` and `/resumed/`, with
/// `route_changes` to their fields.
std::string config_of_test(std::uint64_t version, const nlohmann::json& route_changes);
/// The registration of a backend server.
std::string registration_of_test(const std::string& service, const endpoint& address);
/// A request with `headers` and, unless they have them, an attempt id and the customer's key.
std::string request_of_test(const std::string& path, const header_list& headers);

/// Sends a complete signed response.
void answer(scripted_call& call, int status, const std::string& body);
/// Begins a signed event stream.
void begin_events(scripted_call& call, body_framing framing = body_framing::chunked);
std::string event_text(int id);

} // namespace jujubetide
