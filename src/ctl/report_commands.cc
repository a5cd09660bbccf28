// Commands that show history, audit trail and status.
#include "ctl/civil_time.h"
#include "ctl/commands.h"
#include "ctl/text_table.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

namespace jujubetide {
namespace {

using nlohmann::json;

std::string text_at(const json& value, const std::string& name) {
    const json& field = value.at(name);
    return field.is_string() ? field.get<std::string>() : field.dump();
}

std::string time_at(const json& value, const std::string& name) {
    return format_civil_time(wall_time(millis(value.at(name).get<std::int64_t>())));
}

/// Turns a throwing writer of a server's answer into a status.
template <class Write>
absl::Status write_answer(Write&& write) {
    try {
        write();
        return absl::OkStatus();
    } catch (const json::exception& error) {
        return absl::InternalError(absl::StrCat("unreadable answer: ", error.what()));
    }
}

const char* effect_of(const json& edit) {
    if (edit.at("from").is_null()) {
        return "add";
    }
    return edit.at("to").is_null() ? "remove" : "change";
}

void write_history(const json& page, std::ostream& out) {
    text_table table({"REVISION", "TIME", "OPERATOR", "CHANGE", "EFFECT", "PATH", "COMMENT"});
    for (const json& record : page.at("records")) {
        for (const json& edit : record.at("edits")) {
            table.add({text_at(record, "revision"), time_at(record, "submitted_ms"),
                       text_at(record, "author"), text_at(record, "change"), effect_of(edit),
                       text_at(edit, "path"), text_at(record, "comment")});
        }
    }
    table.write(out);
}

void write_text(const char* mark, const json& text, std::ostream& out) {
    if (text.is_null()) {
        return;
    }
    std::istringstream lines(text.get<std::string>());
    for (std::string line; std::getline(lines, line);) {
        out << mark << line << '\n';
    }
}

void write_audit(const json& page, std::ostream& out) {
    for (const json& record : page.at("records")) {
        out << "revision " << text_at(record, "revision") << ", " << time_at(record, "submitted_ms")
            << ", operator " << text_at(record, "author") << ", change "
            << text_at(record, "change") << ": " << text_at(record, "comment") << '\n';
        for (const json& edit : record.at("edits")) {
            out << effect_of(edit) << ' ' << text_at(edit, "path") << '\n';
            write_text("- ", edit.at("from"), out);
            write_text("+ ", edit.at("to"), out);
        }
    }
}

void write_move_audit(const json& page, std::ostream& out) {
    text_table table({"TIME", "ACTOR", "MOVE", "TO", "STATE", "SHARE", "EVIDENCE", "COMMENT"});
    for (const json& record : page.at("records")) {
        const json& move = record.at("move");
        table.add({time_at(record, "at_ms"), text_at(record, "actor"), text_at(move, "id"),
                   text_at(move, "to"), text_at(move, "state"), text_at(move, "share"),
                   text_at(move, "evidence"), text_at(record, "comment")});
    }
    table.write(out);
}

void write_status(const json& status, std::ostream& out) {
    const json& settings = status.at("settings");
    out << "revision " << text_at(settings, "revision") << " accepted, in force at "
        << text_at(settings, "in_force") << " of " << text_at(settings, "nodes") << " nodes\n";
    for (const json& node : settings.at("behind")) {
        out << "  behind: " << text_at(node, "node") << " at revision " << text_at(node, "revision")
            << ", " << text_at(node, "health") << '\n';
    }
    text_table services({"SERVICE", "TEAM", "VERSION", "MOVE"});
    text_table backends({"BACKEND", "SERVICE", "VERSION", "ADDRESS", "DOMAIN", "STATE"});
    for (const json& service : status.at("services")) {
        const json& move = service.at("move");
        const std::string shown =
            move.is_null() ? "-"
                           : absl::StrCat("to ", text_at(move, "to"), " ", text_at(move, "state"));
        services.add(
            {text_at(service, "id"), text_at(service, "team"), text_at(service, "version"), shown});
        for (const json& backend : service.at("backends")) {
            backends.add({text_at(backend, "id"), text_at(service, "id"),
                          text_at(backend, "version"), text_at(backend, "address"),
                          text_at(backend, "failure_domain"),
                          backend.at("leaving").get<bool>() ? "leaving" : "serving"});
        }
    }
    out << '\n';
    services.write(out);
    out << '\n';
    backends.write(out);
}

using answer_writer = void (*)(const json&, std::ostream&);

/// Calls the server and prints its answer as asked.
absl::Status show(server_arguments& server, ctl_environment& environment, const std::string& target,
                  answer_writer write) {
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const auto answer = client->call("GET", target);
    if (!answer.ok()) {
        return answer.status();
    }
    if (server.json_output()) {
        environment.out << answer->dump(2) << '\n';
        return absl::OkStatus();
    }
    return write_answer([&] { write(*answer, environment.out); });
}

} // namespace

absl::Status run_history(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("history [PATH]", "lists accepted changes, the newest first");
    server_arguments server(line);
    TCLAP::ValueArg<unsigned> limit("", "limit", "Most changes to list", false, 50, "COUNT",
                                    line.parser());
    TCLAP::ValueArg<std::uint64_t> before("", "before", "Only before this revision", false, 0,
                                          "REVISION", line.parser());
    ctl_arguments options = arguments;
    const std::string path = take_path(options);
    line.parse("history", options);
    return show(server, environment,
                absl::StrCat("/v1/history?path=", path, "&limit=", limit.getValue(),
                             "&before=", before.getValue()),
                write_history);
}

absl::Status run_audit(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("audit [PATH]",
                      "shows changes with their texts, or the steps of a service's moves");
    server_arguments server(line);
    TCLAP::ValueArg<std::string> moves("", "moves", "The steps of this service's moves", false, "",
                                       "SERVICE", line.parser());
    TCLAP::ValueArg<unsigned> limit("", "limit", "Most changes to show", false, 20, "COUNT",
                                    line.parser());
    ctl_arguments options = arguments;
    const std::string path = take_path(options);
    line.parse("audit", options);
    if (!moves.getValue().empty()) {
        return show(server, environment, "/v1/moves/audit/" + moves.getValue(), write_move_audit);
    }
    return show(server, environment,
                absl::StrCat("/v1/history?path=", path, "&limit=", limit.getValue()), write_audit);
}

absl::Status run_status(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("status", "shows where settings are in force, services, backends and moves");
    server_arguments server(line);
    TCLAP::ValueArg<std::string> change("", "change", "Where this change is in force", false, "",
                                        "ID", line.parser());
    line.parse("status", arguments);
    return show(server, environment, "/v1/status?change=" + change.getValue(), write_status);
}

} // namespace jujubetide
