#include "jujubetide/explain/call_explanation.h"

#include "edge/edge_events.h"
#include "node/node_events.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace jujubetide {
namespace {

/// What happened this long before a call may have caused its failure: the time in which usage caps
/// and orders of servers take effect.
constexpr millis time_before{10'000};
constexpr millis time_after{1'000};

/// Events that change what a node believes or does.
constexpr std::array<std::string_view, 14> node_events{
    node_started.name,    node_stopping.name,    node_stopped.name, node_reloaded.name,
    config_in_force.name, config_rejected.name,  table_away.name,   table_back.name,
    table_from_peer.name, feeds_followed.name,   feeds_left.name,   peer_lost.name,
    peer_found.name,      log_lines_dropped.name};
constexpr std::array<std::string_view, 5> server_events{server_seen.name, server_leaving.name,
                                                        server_vanished.name, server_gone.name,
                                                        registration_rejected.name};
constexpr std::array<std::string_view, 2> order_events{servers_ordered.name,
                                                       servers_not_ordered.name};
constexpr std::array<std::string_view, 4> end_events{call_ended.name, call_failed.name,
                                                     call_refused.name, call_left.name};

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool is_end(const log_record& record) {
    return contains(end_events, record.name);
}

struct cause_text {
    std::string_view cause;
    std::string_view text;
};

constexpr std::array<cause_text, 15> causes{{
    {"usage_cap", "the customer was over its usage cap over all nodes"},
    {"no_server", "no backend server of the service could take work"},
    {"too_late", "every server was so busy that the answer would have come too late"},
    {"no_config", "the node had no configuration yet"},
    {"no_route", "no route of the configuration in force matches the request"},
    {"unknown_key", "the configuration in force does not have the caller's key"},
    {"no_service", "the route's service is not in the configuration"},
    {"timeout", "the caller's time or the route's timeout ran out"},
    {"not_sent", "no connection to the servers that were tried came about"},
    {"not_run", "the servers that were tried were full and did not take it"},
    {"wrong_server", "other servers have the addresses of those that were tried"},
    {"error_answer", "the server ran it and answered with an error"},
    {"broken", "the server's connection ended, or its answer made no sense, before an answer"},
    {"broken_midway", "the server's stream ended before it was whole"},
    {"node_ends", "the node ended while the call ran"},
}};

std::string text_of(const std::string& cause) {
    const auto* const found = std::find_if(causes.begin(), causes.end(),
                                           [&](const auto& one) { return one.cause == cause; });
    return found == causes.end() ? cause : std::string(found->text);
}

} // namespace

absl::StatusOr<call_explanation> call_explanation::make(const std::string& id,
                                                        std::vector<log_record> records) {
    std::stable_sort(records.begin(), records.end(),
                     [](const auto& a, const auto& b) { return a.time < b.time; });
    std::vector<log_record> own;
    std::copy_if(records.begin(), records.end(), std::back_inserter(own),
                 [&id](const log_record& one) { return one.field("id") == id; });
    if (own.empty()) {
        return absl::NotFoundError(absl::StrCat(
            "no line has the id '", id,
            "': it did not reach these nodes, or its node ended or dropped lines at the time"));
    }
    call_explanation made(std::move(own));
    made.find_span();
    made.collect(records);
    return made;
}

call_explanation::call_explanation(std::vector<log_record> own) : own_(std::move(own)) {}

void call_explanation::find_span() {
    begin_ = own_.front().time - own_.front().duration("ms") - time_before;
    end_ = own_.back().time + time_after;
    for (const log_record& one : own_) {
        nodes_.insert(one.node);
        if (const std::string server = one.field("server"); !server.empty()) {
            servers_.insert(server);
        }
        if (const std::string service = one.field("service"); !service.empty()) {
            services_.insert(service);
        }
    }
}

void call_explanation::collect(const std::vector<log_record>& records) {
    const std::string id = own_.front().field("id");
    for (const log_record& one : records) {
        if (one.time < begin_ || one.time > end_ || one.field("id") == id) {
            continue;
        }
        if (one.name == attempt_over.name && servers_.contains(one.field("server"))) {
            ++other_failures_[one.field("server")];
        } else if (is_surrounding(one)) {
            surroundings_.push_back(one);
        }
    }
}

bool call_explanation::is_surrounding(const log_record& record) const {
    if (contains(order_events, record.name)) {
        return services_.contains(record.field("service"));
    }
    if (!nodes_.contains(record.node)) {
        return false;
    }
    return contains(node_events, record.name) ||
           (contains(server_events, record.name) && servers_.contains(record.field("server")));
}

std::string call_explanation::verdict() const {
    const auto last = std::find_if(own_.rbegin(), own_.rend(), is_end);
    std::string text =
        last == own_.rend()
            ? std::string("No line tells its end: its node ended or dropped lines meanwhile.")
            : verdict_of_end(*last);
    for (const auto& [server, count] : other_failures_) {
        absl::StrAppend(&text, " Server ", server, " failed ", count,
                        " attempts of other calls at the time.");
    }
    return text;
}

std::string call_explanation::verdict_of_end(const log_record& last) const {
    const std::string where = absl::StrCat(" at ", last.node);
    if (last.name == call_refused.name) {
        return absl::StrCat("Refused with ", last.field("status"), where,
                            " and did not run: ", text_of(last.field("cause")), ".");
    }
    if (last.name == call_failed.name) {
        return absl::StrCat("Failed", where, " after ", last.field("ms"), " ms and ",
                            last.field("servers_tried"), " servers: ", text_of(last.field("cause")),
                            ".");
    }
    if (last.name == call_left.name) {
        return absl::StrCat("The caller closed its connection", where, " after ", last.field("ms"),
                            " ms, ", last.field("cause") == "mid_answer" ? "amid" : "before",
                            " the answer.");
    }
    const bool is_stream = last.field("first_event_ms") != "0";
    const millis answered = last.duration(is_stream ? "first_event_ms" : "ms");
    const millis target = last.duration("target_ms");
    std::string text = absl::StrCat("Answered whole with ", last.field("status"), where, " after ",
                                    last.field("ms"), " ms");
    if (answered <= target || target == millis{0}) {
        return text + ".";
    }
    absl::StrAppend(&text, ", late: ", answered.count(), " ms to the answer's begin where ",
                    target.count(), " ms are expected; ");
    const millis estimate = last.duration("estimate_ms");
    // Half of what came tells a known wait from a surprise.
    constexpr int surprise_factor = 2;
    absl::StrAppend(&text,
                    estimate * surprise_factor < answered
                        ? "the server was slower than its load and its past said"
                        : "the wait was foreseen and no server had a shorter one",
                    " (estimate ", estimate.count(), " ms).");
    return text;
}

} // namespace jujubetide
