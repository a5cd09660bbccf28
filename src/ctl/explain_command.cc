// The command that explains what became of a call, from the nodes' logs alone.
#include "ctl/commands.h"

#include "jujubetide/explain/call_explanation.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace jujubetide {
namespace {

void read_records(std::istream& in, std::vector<log_record>& records) {
    for (std::string line; std::getline(in, line);) {
        if (auto record = parse_log_line(line)) {
            records.push_back(*std::move(record));
        }
    }
}

absl::StatusOr<std::vector<log_record>> read_files(const std::vector<std::string>& files) {
    std::vector<log_record> records;
    for (const std::string& name : files) {
        if (name == "-") {
            read_records(std::cin, records);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            return absl::NotFoundError(absl::StrCat("cannot open ", name));
        }
        read_records(file, records);
    }
    return records;
}

void write_record(const log_record& record, wall_time end, std::ostream& out) {
    out << "  " << (record.time - end).count() << " ms  " << record.node << "  " << record.name;
    for (const auto& [name, value] : record.fields) {
        out << ' ' << name << '=' << value;
    }
    out << '\n';
}

void write_text(const call_explanation& call, std::ostream& out) {
    const wall_time end = call.call_records().back().time;
    out << call.verdict() << "\n\nits lines, by the time before its end:\n";
    for (const log_record& one : call.call_records()) {
        write_record(one, end, out);
    }
    if (!call.related_events().empty()) {
        out << "\nwhat changed at its nodes and servers:\n";
    }
    for (const log_record& one : call.related_events()) {
        write_record(one, end, out);
    }
}

nlohmann::json to_json(const std::vector<log_record>& records) {
    nlohmann::json list = nlohmann::json::array();
    for (const log_record& one : records) {
        list.push_back({{"t", one.time.time_since_epoch().count()},
                        {"node", one.node},
                        {"event", one.event},
                        {"name", one.name},
                        {"fields", one.fields}});
    }
    return list;
}

} // namespace

absl::Status run_explain(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("explain", "explains what became of a call, from the logs of the nodes");
    TCLAP::CmdLine& command = line.parser();
    TCLAP::UnlabeledValueArg<std::string> id("ID", "The attempt id that the caller sent", true, "",
                                             "ID", command);
    std::vector<std::string> formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> outputs(formats);
    TCLAP::ValueArg<std::string> output("", "output", "How to print", false, "text", &outputs,
                                        command);
    TCLAP::UnlabeledMultiArg<std::string> files("FILES", "Logs of the nodes, - for standard input",
                                                true, "FILES", command);
    line.parse("explain", arguments);
    auto records = read_files(files.getValue());
    if (!records.ok()) {
        return records.status();
    }
    const auto call = call_explanation::make(id.getValue(), *std::move(records));
    if (!call.ok()) {
        return call.status();
    }
    if (output.getValue() == "json") {
        environment.out << nlohmann::json{{"verdict", call->verdict()},
                                          {"own", to_json(call->call_records())},
                                          {"surroundings", to_json(call->related_events())},
                                          {"other_failures", call->other_failures()}}
                               .dump(2)
                        << '\n';
    } else {
        write_text(*call, environment.out);
    }
    return absl::OkStatus();
}

} // namespace jujubetide
