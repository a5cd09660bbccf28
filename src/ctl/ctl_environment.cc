#include "ctl/ctl_environment.h"

#include "jujubetide/base/build_identity.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <sstream>

namespace jujubetide {
namespace {

std::vector<std::string>& output_names() {
    static std::vector<std::string> names{"table", "json"};
    return names;
}

} // namespace

command_line::command_line(const std::string& command, const std::string& summary)
    : parser_("jujubectl " + command + ": " + summary, ' ', version_text()) {
    parser_.setExceptionHandling(false);
}

void command_line::parse(const std::string& command, const ctl_arguments& arguments) {
    std::vector<std::string> all{"jujubectl " + command};
    all.insert(all.end(), arguments.begin(), arguments.end());
    parser_.parse(all);
}

// TCLAP remembers over the whole process that an optional positional argument was declared, and
// then refuses any other positional argument; a process that runs several commands could not use
// it.
std::string take_path(ctl_arguments& arguments) {
    if (arguments.empty() || arguments.front().starts_with("-")) {
        return "/";
    }
    std::string path = arguments.front();
    arguments.erase(arguments.begin());
    return path;
}

server_arguments::server_arguments(command_line& line)
    : outputs_(output_names()),
      servers_("", "server", "Address of a control process; more are tried in order", true,
               "ADDRESS:PORT", line.parser()),
      key_file_("", "key-file", "File with the operator's key; JUJUBETIDE_KEY otherwise", false, "",
                "FILE", line.parser()),
      output_("", "output", "How to print the answer", false, "table", &outputs_, line.parser()) {}

absl::StatusOr<control_client> server_arguments::connect(const ctl_environment& environment) {
    std::vector<endpoint> servers;
    for (const std::string& text : servers_.getValue()) {
        const absl::StatusOr<endpoint> server = parse_endpoint(text);
        if (!server.ok()) {
            return server.status();
        }
        servers.push_back(*server);
    }
    absl::StatusOr<std::string> read_key = key(environment);
    if (!read_key.ok()) {
        return read_key.status();
    }
    return control_client(std::move(servers), std::move(*read_key));
}

absl::StatusOr<std::string> server_arguments::key(const ctl_environment& environment) const {
    std::string text = environment.key;
    if (!key_file_.getValue().empty()) {
        const std::ifstream input(key_file_.getValue());
        std::ostringstream content;
        content << input.rdbuf();
        text = content.str();
    }
    absl::StripAsciiWhitespace(&text);
    if (text.empty()) {
        return absl::InvalidArgumentError(
            "no operator's key: name a file with --key-file or set JUJUBETIDE_KEY");
    }
    return text;
}

} // namespace jujubetide
