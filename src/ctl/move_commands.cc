// Commands on version moves.
#include "ctl/civil_time.h"
#include "ctl/commands.h"
#include "ctl/text_table.h"

#include "jujubetide/edge/system_random.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

namespace jujubetide {
namespace {

using nlohmann::json;

std::string text_at(const json& move, const std::string& name) {
    const json& field = move.at(name);
    return field.is_string() ? field.get<std::string>() : field.dump();
}

std::string time_at(const json& move, const std::string& name) {
    return format_civil_time(wall_time(millis(move.at(name).get<std::int64_t>())));
}

absl::Status write_moves(const json& moves, std::ostream& out) {
    try {
        text_table table(
            {"SERVICE", "MOVE", "FROM", "TO", "STATE", "SHARE", "DUE", "ENDED", "EVIDENCE"});
        for (const json& move : moves) {
            table.add({text_at(move, "service"), text_at(move, "id"), text_at(move, "from"),
                       text_at(move, "to"), text_at(move, "state"), text_at(move, "share"),
                       time_at(move, "due_ms"), time_at(move, "ended_ms"),
                       text_at(move, "evidence")});
        }
        table.write(out);
        return absl::OkStatus();
    } catch (const json::exception& error) {
        return absl::InternalError(absl::StrCat("unreadable answer: ", error.what()));
    }
}

absl::Status write_plan(const json& plan, std::ostream& out) {
    try {
        text_table table({"SHARE", "FROM"});
        for (const json& step : plan.at("steps")) {
            table.add({text_at(step, "share"), time_at(step, "at_ms")});
        }
        table.add({"1.0", time_at(plan, "planned_end_ms")});
        table.write(out);
        out << "due " << time_at(plan, "due_ms") << ", "
            << (plan.at("feasible").get<bool>() ? "can be met" : "cannot be met") << '\n';
        return absl::OkStatus();
    } catch (const json::exception& error) {
        return absl::InternalError(absl::StrCat("unreadable answer: ", error.what()));
    }
}

/// Arguments that name a new move.
class new_move_arguments {
public:
    explicit new_move_arguments(command_line& line)
        : service_("SERVICE", "The service", true, "", "SERVICE", line.parser()),
          to_("", "to", "The new version", true, "", "VERSION", line.parser()),
          by_("", "by", "Due time: 2026-12-04T18:00:00Z, or +90m from now", true, "", "TIME",
              line.parser()) {}

    /// The body of a call; InvalidArgument where the time cannot be read.
    [[nodiscard]] absl::StatusOr<json> body(const ctl_environment& environment) const {
        const auto due = parse_civil_time(by_.getValue(), environment.time.wall_now());
        if (!due.ok()) {
            return due.status();
        }
        return json{{"service", service_.getValue()},
                    {"to", to_.getValue()},
                    {"due_ms", due->time_since_epoch().count()}};
    }

private:
    // TCLAP reads the values through functions that are not const.
    mutable TCLAP::UnlabeledValueArg<std::string> service_;
    mutable TCLAP::ValueArg<std::string> to_;
    mutable TCLAP::ValueArg<std::string> by_;
};

} // namespace

absl::Status run_move_plan(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("move plan", "shows whether a move can be done by a time, and its steps");
    server_arguments server(line);
    new_move_arguments asked(line);
    line.parse("move plan", arguments);
    const auto body = asked.body(environment);
    if (!body.ok()) {
        return body.status();
    }
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const auto answer = client->call("POST", "/v1/moves/plan", body->dump());
    if (!answer.ok()) {
        return answer.status();
    }
    if (server.json_output()) {
        environment.out << answer->dump(2) << '\n';
    } else if (absl::Status written = write_plan(*answer, environment.out); !written.ok()) {
        return written;
    }
    return answer->value("feasible", false)
               ? absl::OkStatus()
               : absl::FailedPreconditionError(answer->value("detail", ""));
}

absl::Status run_move_start(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("move start", "moves a service's traffic to another version by a time");
    server_arguments server(line);
    new_move_arguments asked(line);
    TCLAP::ValueArg<std::string> id("", "move-id", "Id of the move; the same for a repeat", false,
                                    "", "ID", line.parser());
    TCLAP::ValueArg<std::string> comment("", "comment", "Why, for the audit trail", false, "",
                                         "TEXT", line.parser());
    TCLAP::SwitchArg anyway("", "anyway", "Start also where the due time cannot be met",
                            line.parser());
    line.parse("move start", arguments);
    auto body = asked.body(environment);
    if (!body.ok()) {
        return body.status();
    }
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    (*body)["id"] = id.getValue().empty() ? random_hex_id() : id.getValue();
    (*body)["comment"] = comment.getValue();
    (*body)["anyway"] = anyway.getValue();
    const auto answer = client->call("POST", "/v1/moves", body->dump());
    if (!answer.ok()) {
        return answer.status();
    }
    if (server.json_output()) {
        environment.out << answer->dump(2) << '\n';
        return absl::OkStatus();
    }
    return write_moves(json::array({*answer}), environment.out);
}

absl::Status run_move_status(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("move status", "shows the newest version move of each service");
    server_arguments server(line);
    line.parse("move status", arguments);
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const auto answer = client->call("GET", "/v1/moves");
    if (!answer.ok()) {
        return answer.status();
    }
    if (server.json_output()) {
        environment.out << answer->dump(2) << '\n';
        return absl::OkStatus();
    }
    return write_moves(answer->value("moves", json::array()), environment.out);
}

absl::Status run_move_take_back(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("move take-back", "ends a version move and returns its traffic");
    server_arguments server(line);
    TCLAP::UnlabeledValueArg<std::string> id("MOVE", "Id of the move", true, "", "MOVE",
                                             line.parser());
    TCLAP::ValueArg<std::string> comment("", "comment", "Why, for the audit trail", false, "",
                                         "TEXT", line.parser());
    line.parse("move take-back", arguments);
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const auto answer = client->call(
        "POST", absl::StrCat("/v1/moves/", id.getValue(), "/take_back"), comment.getValue());
    if (!answer.ok()) {
        return answer.status();
    }
    if (server.json_output()) {
        environment.out << answer->dump(2) << '\n';
        return absl::OkStatus();
    }
    environment.out << "move " << id.getValue() << ": " << answer->value("state", "")
                    << (answer->contains("detail") ? ", " + answer->value("detail", "") : "")
                    << '\n';
    return absl::OkStatus();
}

} // namespace jujubetide
