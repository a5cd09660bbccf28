#include "jujubetide/backend/http_engine_client.h"

#include "backend/engine_run.h"
#include "backend/http_stream.h"
#include "backend/stream_watch.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace jujubetide {
namespace {

/// The longest report of an engine's state that is read.
constexpr std::size_t max_report_bytes = std::size_t{16} << 20U;
/// How long the connection of an attempt outlives the caller's deadline, so that the receiver and
/// not the connection decides about the deadline.
constexpr millis read_margin{1'000};
/// A cancellation is a courtesy to the engine: the caller does not wait long for it.
constexpr http_timeouts cancel_timeouts{millis{200}, millis{200}, millis{200}};

std::string dump(const nlohmann::json& body) {
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string write_request(const engine_request& request) {
    return dump({{"attempt_id", request.attempt.str()},
                 {"request_id", request.request.str()},
                 {"version", request.version.str()},
                 {"prompt", request.prompt},
                 {"max_pieces", request.max_pieces},
                 {"start", request.start.value()},
                 {"generated", request.generated},
                 {"priority", request.priority},
                 {"time_left_ms", request.time_left.count()}});
}

std::string role_name(engine_role role) {
    switch (role) {
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    case engine_role::mixed:
        break;
    }
    return "mixed";
}

std::string write_order(const engine_order& order) {
    return dump({{"lease", order.lease.str()},
                 {"fencing", order.fencing.value()},
                 {"version", order.version.str()},
                 {"role", role_name(order.role)}});
}

load_report read_load(const nlohmann::json& body) {
    load_report report;
    report.sequence = sequence_number(body.at("sequence").get<std::uint64_t>());
    report.running = body.at("running").get<std::uint32_t>();
    report.waiting = body.at("waiting").get<std::uint32_t>();
    report.waiting_prompt_tokens =
        token_count(body.at("waiting_prompt_tokens").get<std::uint64_t>());
    report.max_running = body.at("max_running").get<std::uint32_t>();
    report.version = version_id(body.at("version").get<std::string>());
    report.leaving = body.at("leaving").get<bool>();
    return report;
}

cache_event read_cache_event(const nlohmann::json& body) {
    return {sequence_number(body.at("sequence").get<std::uint64_t>()),
            body.at("prefix_hash").get<std::uint64_t>(), body.at("stored").get<bool>()};
}

/// Gets JSON and reads it with `read`. DataLoss where it is not what was asked for.
template <class Read>
auto get_json(const endpoint& engine, const std::string& target, const http_timeouts& timeouts,
              Read read) -> absl::StatusOr<decltype(read(nlohmann::json()))> {
    const auto answer = http_call(engine, "GET", target, "", timeouts, {}, max_report_bytes);
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return absl::UnavailableError(absl::StrCat(target, " answered ", answer->status));
    }
    try {
        return read(nlohmann::json::parse(answer->body));
    } catch (const nlohmann::json::exception& error) {
        return absl::DataLossError(error.what());
    }
}

} // namespace

http_engine_client::http_engine_client(timer_service& timers, const http_timeouts& timeouts)
    : watch_(std::make_unique<stream_watch>(timers)), timeouts_(timeouts) {}

http_engine_client::~http_engine_client() = default;

engine_result http_engine_client::do_run(const endpoint& engine, const engine_request& request,
                                         engine_receiver& receiver) {
    http_timeouts timeouts = timeouts_;
    timeouts.read = std::max(request.time_left, millis{0}) + read_margin;
    engine_run run(request, receiver);
    http_stream stream(engine, timeouts, run);
    const absl::Status ended = watch_->call(stream, "POST", "/v1/generate", write_request(request));
    engine_result result = run.result(ended, stream.status());
    if (result.outcome == engine_outcome::cancelled ||
        result.outcome == engine_outcome::interrupted) {
        cancel(engine, request.attempt).IgnoreError();
    }
    return result;
}

absl::Status http_engine_client::do_cancel(const endpoint& engine, const attempt_id& attempt) {
    const auto answer = http_call(engine, "POST", "/v1/cancel",
                                  dump({{"attempt_id", attempt.str()}}), cancel_timeouts);
    if (!answer.ok()) {
        return answer.status();
    }
    return answer->status == 200
               ? absl::OkStatus()
               : absl::UnknownError(absl::StrCat("/v1/cancel answered ", answer->status));
}

absl::StatusOr<load_report> http_engine_client::do_load(const endpoint& engine) {
    return get_json(engine, "/v1/load", timeouts_, read_load);
}

absl::StatusOr<std::vector<cache_event>>
http_engine_client::do_cache_events(const endpoint& engine, sequence_number after) {
    return get_json(engine, absl::StrCat("/v1/cache_events?after=", after.value()), timeouts_,
                    [](const nlohmann::json& list) {
                        std::vector<cache_event> events;
                        for (const nlohmann::json& event : list) {
                            events.push_back(read_cache_event(event));
                        }
                        return events;
                    });
}

absl::Status http_engine_client::do_order(const endpoint& engine, const engine_order& order) {
    const auto answer = http_call(engine, "POST", "/v1/orders", write_order(order), timeouts_);
    if (!answer.ok()) {
        return answer.status();
    }
    switch (answer->status) {
    case 200:
        return absl::OkStatus();
    case 409:
        return absl::FailedPreconditionError("the engine has seen a higher fencing number");
    default:
        return absl::DeadlineExceededError(absl::StrCat("/v1/orders answered ", answer->status));
    }
}

} // namespace jujubetide
