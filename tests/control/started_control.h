#pragma once

#include "control/control_server.h"
#include "control/own_facts.h"
#include "control/table_poller.h"
#include "support/fake_table.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/http/http_client.h"
#include "jujubetide/settings/sha256.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>

namespace jujubetide {

/// Traffic that the test sets.
class fixed_traffic final : public traffic_source {
public:
    std::atomic<double> rate{100.0};

protected:
    double do_request_rate(const service_id& /*service*/) override { return rate; }
};

/// A control process's operators' interface over a table in memory, in this process.
class started_control {
public:
    started_control() {
        REQUIRE(table_poller::read(parts).ok());
        auto made = control_server::make(parts, {});
        REQUIRE(made.ok());
        server = *std::move(made);
    }

    http_answer call(const std::string& method, const std::string& target,
                     const std::string& key = "", const std::string& body = "") {
        std::map<std::string, std::string> headers;
        if (!key.empty()) {
            headers["Authorization"] = "Bearer " + key;
        }
        auto answer = http_call(server->address(), method, target, body, {}, headers);
        REQUIRE(answer.ok());
        return *answer;
    }

    http_answer apply(const std::string& key, const std::string& change, std::uint64_t expected,
                      const nlohmann::json& edits) {
        const nlohmann::json body{{"change", change}, {"expected", expected}, {"edits", edits}};
        return call("POST", "/v1/settings/apply", key, body.dump());
    }

    fake_table rows;
    manual_clock time;
    quiet_log log;
    blackboard boards;
    own_facts facts{boards};
    settings_store store{rows};
    settings_history history{rows};
    move_store moves{rows};
    fixed_traffic traffic;
    control_parts parts{
        time, log, boards, facts, store, history, moves, traffic, sha256_hex("bootstrap-key")};
    std::unique_ptr<control_server> server;
};

inline std::string operator_text(const std::string& key, const std::string& subtree) {
    return "key_sha256: " + sha256_hex(key) + "\nsubtrees: [" + subtree + "]\n";
}

inline std::string service_text(const std::string& version) {
    return "kind: model\nversion: " + version + "\nroutes: [{id: notes}]\n";
}

inline std::string backend_text(const std::string& version, int port) {
    return "service: diagnosis\nversion: " + version +
           "\naddress: 127.0.0.1:" + std::to_string(port) + "\nhost: h" + std::to_string(port) +
           "\nfailure_domain: ar-centro-a\n";
}

/// Operators `ana` (every path, key "ana-key") and `bela` (team frio, key "bela-key") and the
/// service diagnosis with a backend server of each of the versions v1 and v2; revision 1.
inline nlohmann::json first_documents() {
    return {{"/operators/ana", operator_text("ana-key", "/")},
            {"/operators/bela", operator_text("bela-key", "/teams/frio/")},
            {"/teams/frio/services/diagnosis", service_text("v1")},
            {"/teams/frio/backends/e1", backend_text("v1", 8001)},
            {"/teams/frio/backends/e2", backend_text("v2", 8002)}};
}

} // namespace jujubetide
