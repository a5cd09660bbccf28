// Commands on the directory of settings and on the settings in force.
#include "ctl/commands.h"
#include "ctl/settings_plan.h"
#include "ctl/settings_tree.h"

#include "jujubetide/edge/system_random.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

namespace jujubetide {
namespace {

using nlohmann::json;

/// Reads and checks a directory; InvalidArgument with all findings.
absl::StatusOr<settings_documents> read_checked(const std::string& directory) {
    absl::StatusOr<settings_documents> documents = read_settings_tree(directory);
    if (!documents.ok()) {
        return documents;
    }
    absl::Status checked = check_settings_tree(*documents, directory).to_status();
    if (!checked.ok()) {
        return checked;
    }
    return documents;
}

/// Arguments that `plan` and `apply` share.
struct plan_arguments {
    explicit plan_arguments(command_line& line)
        : server(line),
          directory("DIR", "Directory of the settings", true, "", "DIR", line.parser()),
          subtrees("", "subtree",
                   "Only what lies below this path, such as /teams/frio/, also where the directory "
                   "has nothing there",
                   false, "PATH", line.parser()) {}

    server_arguments server;
    TCLAP::UnlabeledValueArg<std::string> directory;
    TCLAP::MultiArg<std::string> subtrees;
};

struct server_plan {
    settings_view view;
    settings_plan plan;
};

absl::StatusOr<server_plan> make_plan(plan_arguments& arguments, const control_client& client) {
    const auto documents = read_settings_tree(arguments.directory.getValue());
    if (!documents.ok()) {
        return documents.status();
    }
    absl::StatusOr<settings_view> view = client.settings();
    if (!view.ok()) {
        return view.status();
    }
    std::vector<std::string> subtrees = arguments.subtrees.getValue();
    if (subtrees.empty()) {
        subtrees = subtrees_of(*documents);
    }
    settings_plan plan = plan_settings(*documents, view->documents, subtrees);
    return server_plan{std::move(*view), std::move(plan)};
}

json to_json(const server_plan& planned) {
    return {{"revision", planned.view.at.value()},
            {"add", planned.plan.added},
            {"change", planned.plan.changed},
            {"remove", planned.plan.removed}};
}

void write_plan(const server_plan& planned, std::ostream& out) {
    for (const std::string& path : planned.plan.added) {
        out << "add     " << path << '\n';
    }
    for (const std::string& path : planned.plan.changed) {
        out << "change  " << path << '\n';
    }
    for (const std::string& path : planned.plan.removed) {
        out << "remove  " << path << '\n';
    }
    out << planned.plan.edits.size() << " edits against revision " << planned.view.at.value()
        << '\n';
}

absl::Status check_expected(const std::string& text, revision newest) {
    if (text.empty() || text == std::to_string(newest.value())) {
        return absl::OkStatus();
    }
    return absl::AbortedError(
        absl::StrCat("the newest revision is ", newest.value(), ", not ", text, "; plan again"));
}

/// Tells how to repeat a submission whose outcome is unknown.
absl::Status with_change_id(const absl::Status& status, const change_id& change) {
    if (!absl::IsDeadlineExceeded(status)) {
        return status;
    }
    return absl::DeadlineExceededError(
        absl::StrCat(std::string(status.message()), "\nrepeat with --change-id ", change.str()));
}

} // namespace

absl::Status run_check(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("check", "checks a directory of settings without a server");
    TCLAP::UnlabeledValueArg<std::string> directory("DIR", "Directory of the settings", true, "",
                                                    "DIR", line.parser());
    line.parse("check", arguments);
    const auto documents = read_checked(directory.getValue());
    if (!documents.ok()) {
        return documents.status();
    }
    environment.out << documents->size() << " documents are right\n";
    return absl::OkStatus();
}

absl::Status run_plan(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("plan", "shows what an apply would change");
    plan_arguments named(line);
    line.parse("plan", arguments);
    const auto client = named.server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const absl::StatusOr<server_plan> planned = make_plan(named, *client);
    if (!planned.ok()) {
        return planned.status();
    }
    absl::Status checked = client->check(planned->plan.edits);
    if (!checked.ok()) {
        return checked;
    }
    if (named.server.json_output()) {
        environment.out << to_json(*planned).dump(2) << '\n';
    } else {
        write_plan(*planned, environment.out);
    }
    return absl::OkStatus();
}

absl::Status run_apply(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("apply", "makes the settings those of a directory, in one change");
    plan_arguments named(line);
    TCLAP::ValueArg<std::string> id("", "change-id", "Id of the change; the same for a repeat",
                                    false, "", "ID", line.parser());
    TCLAP::ValueArg<std::string> comment("", "comment", "Why, for the audit trail", false, "",
                                         "TEXT", line.parser());
    TCLAP::ValueArg<std::string> expected("", "expect", "Only if this is the newest revision",
                                          false, "", "REVISION", line.parser());
    line.parse("apply", arguments);
    const auto client = named.server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const absl::StatusOr<server_plan> planned = make_plan(named, *client);
    if (!planned.ok()) {
        return planned.status();
    }
    absl::Status current = check_expected(expected.getValue(), planned->view.at);
    if (!current.ok()) {
        return current;
    }
    if (planned->plan.edits.empty()) {
        environment.out << "nothing to change at revision " << planned->view.at.value() << '\n';
        return absl::OkStatus();
    }
    const change_id change(id.getValue().empty() ? random_hex_id() : id.getValue());
    const auto answer =
        client->apply({change, planned->view.at, comment.getValue(), planned->plan.edits});
    if (!answer.ok()) {
        return with_change_id(answer.status(), change);
    }
    if (named.server.json_output()) {
        json body = to_json(*planned);
        body["change"] = change.str();
        body["accepted"] = answer->accepted.value();
        environment.out << body.dump(2) << '\n';
    } else {
        write_plan(*planned, environment.out);
        environment.out << "change " << change.str() << " accepted as revision "
                        << answer->accepted.value() << '\n';
    }
    return absl::OkStatus();
}

absl::Status run_get(const ctl_arguments& arguments, ctl_environment& environment) {
    command_line line("get [PATH]", "prints the documents at or below a path");
    server_arguments server(line);
    ctl_arguments options = arguments;
    const std::string path = take_path(options);
    line.parse("get", options);
    const auto client = server.connect(environment);
    if (!client.ok()) {
        return client.status();
    }
    const absl::StatusOr<settings_view> view = client->settings();
    if (!view.ok()) {
        return view.status();
    }
    std::map<std::string, std::string> shown;
    for (const auto& [name, text] : view->documents) {
        if (name.starts_with(path)) {
            shown[name] = text;
        }
    }
    if (shown.empty()) {
        return absl::NotFoundError(absl::StrCat("no document at ", path));
    }
    if (server.json_output()) {
        environment.out << json{{"revision", view->at.value()}, {"documents", shown}}.dump(2)
                        << '\n';
        return absl::OkStatus();
    }
    for (const auto& [name, text] : shown) {
        environment.out << "# " << name << '\n' << text << (text.ends_with("\n") ? "" : "\n");
    }
    return absl::OkStatus();
}

} // namespace jujubetide
