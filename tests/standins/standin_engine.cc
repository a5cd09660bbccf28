#include "standins/standin_engine.h"

#include "standins/standin_engine_stream.h"

#include "jujubetide/routing/prompt_blocks.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace jujubetide {

namespace {

constexpr std::uint32_t default_pieces = 32;
constexpr std::size_t max_body_bytes = 16U << 20U;
constexpr std::array<std::pair<engine_role, const char*>, 3> role_names{
    {{engine_role::mixed, "mixed"},
     {engine_role::prefill, "prefill"},
     {engine_role::decode, "decode"}}};

engine_role parse_role(const std::string& name) {
    for (const auto& [role, role_name] : role_names) {
        if (name == role_name) {
            return role;
        }
    }
    return engine_role::mixed;
}

std::string role_name(engine_role role) {
    for (const auto& [known, name] : role_names) {
        if (known == role) {
            return name;
        }
    }
    return "mixed";
}

engine_request read_request(const nlohmann::json& body) {
    engine_request request;
    request.attempt = attempt_id(body.value("attempt_id", ""));
    request.request = request_id(body.value("request_id", ""));
    request.version = version_id(body.value("version", ""));
    request.prompt = body.value("prompt", "");
    request.max_pieces = body.value("max_pieces", 0U);
    request.start = piece_offset(body.value("start", 0U));
    request.priority = body.value("priority", 0);
    return request;
}

engine_order read_order(const nlohmann::json& body) {
    return {lease_id(body.value("lease", "")), fencing_number(body.value("fencing", 0ULL)),
            version_id(body.value("version", "")), parse_role(body.value("role", "mixed"))};
}

nlohmann::json to_json(const load_report& report) {
    return {{"sequence", report.sequence.value()},
            {"running", report.running},
            {"waiting", report.waiting},
            {"waiting_prompt_tokens", report.waiting_prompt_tokens.value()},
            {"max_running", report.max_running},
            {"version", report.version.str()},
            {"leaving", report.leaving}};
}

/// Ends a place of the scheduler when the stream ends.
class running_place {
public:
    explicit running_place(standin_engine_scheduler& scheduler) : scheduler_(scheduler) {}
    ~running_place() { scheduler_.end(); }
    running_place(const running_place&) = delete;
    running_place& operator=(const running_place&) = delete;

private:
    standin_engine_scheduler& scheduler_;
};

} // namespace

absl::StatusOr<std::unique_ptr<standin_engine>>
standin_engine::make(const standin_engine_options& options) {
    std::unique_ptr<standin_engine> engine(new standin_engine(options));
    http_server_options server_options;
    server_options.listen = options.listen;
    server_options.threads = options.threads;
    server_options.max_body_bytes = max_body_bytes;
    server_options.keep_alive = millis{1'000};
    auto server = http_server::make(
        server_options, [&engine](httplib::Server& routes) { engine->add_routes(routes); });
    if (!server.ok()) {
        return server.status();
    }
    engine->server_ = *std::move(server);
    return engine;
}

standin_engine::standin_engine(const standin_engine_options& options)
    : options_(options), scheduler_(clock_, options.max_running), knobs_(options.knobs),
      version_(options.version), cache_(options.cache_blocks) {}

standin_engine::~standin_engine() {
    scheduler_.stop();
    server_.reset();
}

void standin_engine::set_knobs(const standin_engine_knobs& knobs) {
    const std::lock_guard lock(mutex_);
    knobs_ = knobs;
}

standin_engine_knobs standin_engine::knobs() const {
    const std::lock_guard lock(mutex_);
    return knobs_;
}

void standin_engine::set_leaving(bool leaving) {
    const std::lock_guard lock(mutex_);
    knobs_.leaving = leaving;
}

std::vector<engine_order> standin_engine::accepted_orders() const {
    const std::lock_guard lock(mutex_);
    return accepted_;
}

std::vector<engine_order> standin_engine::refused_orders() const {
    const std::lock_guard lock(mutex_);
    return refused_;
}

version_id standin_engine::version() const {
    const std::lock_guard lock(mutex_);
    return version_;
}

void standin_engine::add_routes(httplib::Server& routes) {
    const auto post = [&routes](const char* path, auto handler) {
        routes.Post(path, [handler](const httplib::Request& request, httplib::Response& response) {
            handler(json_body(request), response);
        });
    };
    post("/v1/generate", [this](const nlohmann::json& body, httplib::Response& response) {
        generate(body, response);
    });
    post("/v1/cancel", [this](const nlohmann::json& body, httplib::Response& response) {
        scheduler_.cancel(attempt_id(body.value("attempt_id", "")));
        answer_json(response, nlohmann::json::object());
    });
    post("/v1/orders", [this](const nlohmann::json& body, httplib::Response& response) {
        order(body, response);
    });
    post("/faults", [this](const nlohmann::json& body, httplib::Response& response) {
        set_faults(body);
        answer_json(response, nlohmann::json::object());
    });
    routes.Get("/v1/load", [this](const httplib::Request&, httplib::Response& response) {
        answer_load(response);
    });
    routes.Get("/v1/state", [this](const httplib::Request&, httplib::Response& response) {
        answer_state(response);
    });
    add_cache_routes(routes);
}

void standin_engine::add_cache_routes(httplib::Server& routes) {
    routes.Get("/v1/cache_events",
               [this](const httplib::Request& request, httplib::Response& response) {
                   std::uint64_t after = 0;
                   if (!absl::SimpleAtoi(request.get_param_value("after"), &after)) {
                       after = 0;
                   }
                   answer_cache_events(sequence_number(after), response);
               });
    routes.Post("/v1/kv/export", [](const httplib::Request& request, httplib::Response& response) {
        const auto blocks = hash_prompt_blocks(json_body(request).value("prompt", ""));
        response.set_content(nlohmann::json(blocks).dump(), "application/octet-stream");
    });
    routes.Post("/v1/kv/import",
                [this](const httplib::Request& request, httplib::Response& response) {
                    const auto blocks = nlohmann::json::parse(request.body, nullptr, false);
                    if (!blocks.is_array()) {
                        answer_problem(response, 400, "no_kv_cache", true);
                        return;
                    }
                    const std::lock_guard lock(mutex_);
                    cache_.store(blocks.get<std::vector<std::uint64_t>>());
                    answer_json(response, nlohmann::json::object());
                });
}

token_count standin_engine::use_cache(const std::string& prompt) {
    const auto blocks = hash_prompt_blocks(prompt);
    const std::lock_guard lock(mutex_);
    const std::size_t cached = cache_.cached_blocks(blocks);
    cache_.store(blocks);
    return token_count(cached * prompt_block_bytes / bytes_per_token);
}

void standin_engine::generate(const nlohmann::json& body, httplib::Response& response) {
    const engine_request request = read_request(body);
    const standin_engine_knobs knobs = this->knobs();
    if (faults_.take(engine_fault::fail_before_run)) {
        answer_json(response, {{"error", "internal"}}, 500);
        return;
    }
    if (faults_.take(engine_fault::refuse_not_run)) {
        answer_problem(response, 503, "overloaded", true);
        return;
    }
    if (scheduler_.waiting() >= knobs.max_waiting) {
        answer_problem(response, 503, "queue_full", true);
        return;
    }
    const version_id served = version();
    if (!request.version.empty() && !served.empty() && request.version != served) {
        answer_problem(response, 503, "other_version", true);
        return;
    }
    const std::uint32_t asked = request.max_pieces == 0 ? default_pieces : request.max_pieces;
    const bool stops = knobs.answer_pieces != 0 && knobs.answer_pieces <= asked;
    const token_count tokens = estimate_tokens(request.prompt);
    const std::size_t total = stops ? knobs.answer_pieces : asked;
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, request, knobs, tokens, total, stops](std::size_t, httplib::DataSink& sink) {
            if (options_.log_executions) {
                log_execution(request.prompt);
            }
            if (!scheduler_.begin(request, tokens)) {
                return false;
            }
            const running_place place(scheduler_);
            const token_count cached = use_cache(request.prompt);
            const auto prefill = std::chrono::duration_cast<millis>(
                knobs.prefill_per_token * (tokens - std::min(cached, tokens)).value());
            standin_engine_stream stream({request, static_cast<std::uint32_t>(total),
                                          stops ? "stop" : "length", tokens, cached,
                                          knobs.first_piece + prefill, knobs.between_pieces},
                                         scheduler_, faults_);
            const auto ending = stream.run([&sink](const std::string& bytes) {
                return sink.write(bytes.data(), bytes.size());
            });
            if (ending == standin_engine_stream::ending::torn) {
                return false;
            }
            sink.done();
            return true;
        });
}

void standin_engine::answer_load(httplib::Response& response) {
    load_report report = scheduler_.load(knobs().load_report_lag);
    report.version = version();
    report.leaving = knobs().leaving;
    answer_json(response, to_json(report));
}

void standin_engine::answer_cache_events(sequence_number after, httplib::Response& response) {
    const std::lock_guard lock(mutex_);
    nlohmann::json events = nlohmann::json::array();
    for (const cache_event& event : cache_.events_after(after)) {
        events.push_back({{"sequence", event.sequence.value()},
                          {"prefix_hash", event.prefix_hash},
                          {"stored", event.stored}});
    }
    answer_json(response, events);
}

void standin_engine::answer_state(httplib::Response& response) const {
    const standin_engine_counters counters = scheduler_.counters();
    const std::lock_guard lock(mutex_);
    answer_json(response, {{"name", options_.name},
                           {"version", version_.str()},
                           {"role", role_name(role_)},
                           {"running", scheduler_.running()},
                           {"waiting", scheduler_.waiting()},
                           {"most_running", counters.most_running},
                           {"executions_by_request", counters.executions_by_request},
                           {"executions_by_attempt", counters.executions_by_attempt},
                           {"cancelled_attempts", counters.cancelled_attempts},
                           {"orders_accepted", accepted_.size()},
                           {"orders_refused", refused_.size()}});
}

void standin_engine::order(const nlohmann::json& body, httplib::Response& response) {
    if (const millis delay = knobs().order_delay; delay > millis{0}) {
        scheduler_.wait(attempt_id(), delay);
    }
    if (!apply_order(read_order(body))) {
        answer_problem(response, 409, "old_fencing_number", true);
        return;
    }
    answer_json(response, {{"version", version().str()}});
}

bool standin_engine::apply_order(const engine_order& order) {
    const std::lock_guard lock(mutex_);
    fencing_number& highest = highest_fencing_[order.lease.str()];
    if (options_.checks_fencing && order.fencing < highest) {
        refused_.push_back(order);
        return false;
    }
    highest = std::max(highest, order.fencing);
    version_ = order.version;
    role_ = order.role;
    accepted_.push_back(order);
    return true;
}

void standin_engine::set_faults(const nlohmann::json& body) {
    for (const auto& [name, value] : body.items()) {
        const auto fault = standin_engine_faults::parse(name);
        if (fault && value.is_number()) {
            set_fault(*fault, {value.get<int>()});
        } else if (fault && value.is_object()) {
            set_fault(*fault, {value.value("calls", 1), value.value("at_piece", std::size_t{2}),
                               millis{value.value("ms", 0)}});
        }
    }
    if (body.contains("max_running")) {
        set_max_running(body.value("max_running", options_.max_running));
    }
    const std::lock_guard lock(mutex_);
    const auto read_ms = [&body](const char* name, millis& value) {
        value = millis{body.value(name, value.count())};
    };
    read_ms("first_piece_ms", knobs_.first_piece);
    read_ms("between_pieces_ms", knobs_.between_pieces);
    read_ms("load_report_lag_ms", knobs_.load_report_lag);
    read_ms("order_delay_ms", knobs_.order_delay);
    knobs_.prefill_per_token =
        micros{body.value("prefill_us_per_token", knobs_.prefill_per_token.count())};
    knobs_.max_waiting = body.value("max_waiting", knobs_.max_waiting);
    knobs_.answer_pieces = body.value("answer_pieces", knobs_.answer_pieces);
    knobs_.leaving = body.value("leaving", knobs_.leaving);
}

} // namespace jujubetide
