#pragma once

#include "entry/entry_metrics.h"
#include "entry/entry_parts.h"
#include "entry/model_handler.h"
#include "entry/plain_handler.h"

#include "jujubetide/http/http_server.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>

namespace jujubetide {

struct entry_options {
    entry_identity self;
    http_server_options http;
    /// How long callers may keep the answer of `GET /v1/entries`.
    millis entries_lifetime{30'000};
};

/// The HTTP server for callers.
class entry_server {
public:
    /// Begins to answer. `self.public_address` takes the port that was bound. `parts` is copied;
    /// what it refers to outlives the server.
    static absl::StatusOr<std::unique_ptr<entry_server>> make(const entry_parts& parts,
                                                              const entry_options& options);
    /// Stops at once; running requests end as if their callers had gone.
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    [[nodiscard]] const endpoint& address() const { return options_.self.public_address; }
    entry_metrics& metrics() { return metrics_; }
    /// Requests to model services whose answer has no end yet.
    [[nodiscard]] std::size_t running_requests() { return models_.requests().running_count(); }
    /// The settings in force are the newest that the table or several peers know; until then the
    /// node refuses all work.
    void set_settings_ready() { settings_ready_ = true; }
    /// Takes no new work and leaves the list of entries.
    void begin_drain();
    /// Ends a planned stop: waits until `grace` has passed for running answers to end, then hands
    /// the rest over, until all are gone or `timeout` has passed. Returns whether all are gone.
    bool drain(millis grace, millis timeout);

private:
    entry_server(const entry_parts& parts, const entry_options& options);
    void add_routes(httplib::Server& routes);
    void add_service_routes(httplib::Server& routes);
    void add_state_routes(httplib::Server& routes);
    void complete(completion_kind kind, const httplib::Request& request,
                  httplib::Response& response);
    void pass_through(const httplib::Request& request, httplib::Response& response);
    /// Whether the node can serve: its settings are as new as those of others, and a new system's
    /// settings, which declare no service, are not yet enough.
    [[nodiscard]] bool has_settings() const;
    /// Reads the caller's headers; on a refusal answers and returns nothing.
    std::optional<caller_context> accept(const httplib::Request& request,
                                         httplib::Response& response);
    void list_entries(const httplib::Request& request, httplib::Response& response) const;
    [[nodiscard]] std::vector<std::string> other_entries(const std::string& caller_address) const;
    [[nodiscard]] std::string metrics_text();

    entry_parts parts_;
    entry_options options_;
    entry_metrics metrics_;
    model_handler models_;
    plain_handler plain_;
    std::atomic<bool> settings_ready_{false};
    std::atomic<bool> draining_{false};
    std::atomic<int> plain_running_{0};
    std::unique_ptr<timer_subscription> sweep_timer_;
    std::unique_ptr<http_server> http_;
};

} // namespace jujubetide
