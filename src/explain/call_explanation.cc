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

/// Events this long before a call may have caused its failure: usage caps and server orders take
/// effect within this time.
constexpr millis max_time_before{10'000};
constexpr millis max_time_after{1'000};

/// Events that change a node's state or its view of the system.
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

constexpr std::array<cause_text, 16> causes{{
    {"usage_cap", "the customer exceeded its usage cap, counted over all nodes"},
    {"no_server", "no backend server of the service could accept work"},
    {"too_late", "every server was too busy to answer in time"},
    {"customer_share", "calls had to wait and the customer asked for more than its share"},
    {"no_config", "the node had no configuration yet"},
    {"no_route", "no route of the configuration in force matches the request"},
    {"unknown_key", "the configuration in force does not contain the caller's key"},
    {"no_service", "the configuration does not contain the route's service"},
    {"timeout", "the caller's time limit or the route's timeout expired"},
    {"not_sent", "no connection could be made to the servers that were tried"},
    {"not_run", "the servers that were tried were full and rejected the call"},
    {"wrong_server", "the addresses of the servers that were tried now belong to other servers"},
    {"error_answer", "the server ran the call and answered with an error"},
    {"broken",
     "the server's connection ended, or its answer was malformed, before the answer began"},
    {"broken_midway", "the server's stream ended before it was complete"},
    {"node_ends", "the node stopped while the call was running"},
}};

std::string cause_description(const std::string& cause) {
    const auto* const found = std::find_if(causes.begin(), causes.end(),
                                           [&](const auto& entry) { return entry.cause == cause; });
    return found == causes.end() ? cause : std::string(found->text);
}

} // namespace

absl::StatusOr<call_explanation> call_explanation::make(const std::string& id,
                                                        std::vector<log_record> records) {
    std::stable_sort(records.begin(), records.end(),
                     [](const auto& a, const auto& b) { return a.time < b.time; });
    std::vector<log_record> call_records;
    std::copy_if(records.begin(), records.end(), std::back_inserter(call_records),
                 [&id](const log_record& record) { return record.field("id") == id; });
    if (call_records.empty()) {
        return absl::NotFoundError(absl::StrCat(
            "no log line has the call id '", id,
            "': the call did not reach these nodes, or its node stopped or dropped log lines"));
    }
    call_explanation explanation(std::move(call_records));
    explanation.find_time_range();
    explanation.collect_related(records);
    return explanation;
}

call_explanation::call_explanation(std::vector<log_record> call_records)
    : call_records_(std::move(call_records)) {}

void call_explanation::find_time_range() {
    begin_ = call_records_.front().time - call_records_.front().duration("ms") - max_time_before;
    end_ = call_records_.back().time + max_time_after;
    for (const log_record& record : call_records_) {
        nodes_.insert(record.node);
        if (const std::string server = record.field("server"); !server.empty()) {
            servers_.insert(server);
        }
        if (const std::string service = record.field("service"); !service.empty()) {
            services_.insert(service);
        }
    }
}

void call_explanation::collect_related(const std::vector<log_record>& records) {
    const std::string id = call_records_.front().field("id");
    for (const log_record& record : records) {
        if (record.time < begin_ || record.time > end_ || record.field("id") == id) {
            continue;
        }
        if (record.name == attempt_over.name && servers_.contains(record.field("server"))) {
            ++other_failures_[record.field("server")];
        } else if (is_related(record)) {
            related_events_.push_back(record);
        }
    }
}

bool call_explanation::is_related(const log_record& record) const {
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
    const auto last = std::find_if(call_records_.rbegin(), call_records_.rend(), is_end);
    std::string text =
        last == call_records_.rend()
            ? std::string(
                  "No log line records the end of the call: its node stopped or dropped log lines.")
            : verdict_of_end(*last);
    for (const auto& [server, count] : other_failures_) {
        absl::StrAppend(&text, " Server ", server, " failed ", count,
                        " attempts of other calls in the same period.");
    }
    return text;
}

std::string call_explanation::verdict_of_end(const log_record& last) const {
    const std::string at_node = absl::StrCat(" at ", last.node);
    if (last.name == call_refused.name) {
        return absl::StrCat("Refused with ", last.field("status"), at_node,
                            " and did not run: ", cause_description(last.field("cause")), ".");
    }
    if (last.name == call_failed.name) {
        return absl::StrCat("Failed", at_node, " after ", last.field("ms"), " ms and ",
                            last.field("servers_tried"),
                            " servers: ", cause_description(last.field("cause")), ".");
    }
    if (last.name == call_left.name) {
        return absl::StrCat(
            "The caller closed its connection", at_node, " after ", last.field("ms"), " ms, ",
            last.field("cause") == "mid_answer" ? "amid" : "before", " the answer.");
    }
    const bool is_stream = last.field("first_event_ms") != "0";
    const millis answered = last.duration(is_stream ? "first_event_ms" : "ms");
    const millis target = last.duration("target_ms");
    std::string text = absl::StrCat("Answered completely with ", last.field("status"), at_node,
                                    " after ", last.field("ms"), " ms");
    if (answered <= target || target == millis{0}) {
        return text + ".";
    }
    absl::StrAppend(&text, ", late: ", answered.count(), " ms to the start of the answer, ",
                    target.count(), " ms expected; ");
    const millis estimate = last.duration("estimate_ms");
    // A wait of more than twice the estimate was unexpected; a shorter one was predicted.
    constexpr int unexpected_wait_factor = 2;
    absl::StrAppend(
        &text,
        estimate * unexpected_wait_factor < answered
            ? "the server was slower than predicted from its load and its earlier answers"
            : "the wait was predicted and no server had a shorter one",
        " (estimate ", estimate.count(), " ms).");
    return text;
}

} // namespace jujubetide
