#include "ctl/run_ctl.h"

#include "ctl/commands.h"

#include "jujubetide/base/build_identity.h"

#include <tclap/CmdLine.h>

#include <array>

namespace jujubetide {
namespace {

using command_function = absl::Status (*)(const ctl_arguments&, ctl_environment&);

struct command_entry {
    /// One or two words.
    const char* name;
    const char* usage;
    command_function run;
};

constexpr std::array<command_entry, 12> commands{{
    {"check", "check DIR                          check a directory of settings; no server needed",
     run_check},
    {"plan", "plan DIR                           show what an apply would change", run_plan},
    {"apply", "apply DIR                          make the settings those of the directory",
     run_apply},
    {"get", "get [PATH]                         print documents", run_get},
    {"history", "history [PATH]                     list accepted changes", run_history},
    {"audit", "audit [PATH] | --moves SERVICE     show changes with their texts, or moves' steps",
     run_audit},
    {"status", "status                             where settings are in force, services, backends",
     run_status},
    {"explain", "explain ID LOGS...                what became of a call; no server needed",
     run_explain},
    {"move plan", "move plan SERVICE --to V --by T    show whether a move can be done in time",
     run_move_plan},
    {"move start", "move start SERVICE --to V --by T   move traffic to another version",
     run_move_start},
    {"move status", "move status                        show version moves", run_move_status},
    {"move take-back", "move take-back MOVE                end a move and return its traffic",
     run_move_take_back},
}};

constexpr const char* general_help =
    "\nEach command has --help. Commands but check and explain need --server ADDRESS:PORT and an "
    "operator's\n"
    "key, from --key-file FILE or JUJUBETIDE_KEY; --output json prints the answer as JSON.\n"
    "Exit codes: 0 ok, 1 failed, 2 bad input, 3 conflict, 4 refused, 5 unreachable or unknown.\n";

void write_help(std::ostream& out) {
    out << "usage: jujubectl COMMAND [ARGUMENTS]\n\n";
    for (const command_entry& entry : commands) {
        out << "  " << entry.usage << '\n';
    }
    out << general_help;
}

/// Runs the command and writes its error.
exit_code run_command(const command_entry& entry, const ctl_arguments& arguments,
                      ctl_environment& environment) {
    try {
        const absl::Status status = entry.run(arguments, environment);
        if (!status.ok()) {
            environment.err << std::string(status.message()) << '\n';
        }
        return exit_code_of(status);
    } catch (const TCLAP::ArgException& error) {
        environment.err << "jujubectl " << entry.name << ": " << error.error() << ' '
                        << error.argId() << '\n';
        return exit_code::bad_input;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? exit_code::ok : exit_code::bad_input;
    }
}

} // namespace

exit_code run_ctl(const ctl_arguments& arguments, ctl_environment& environment) {
    const std::string first = arguments.empty() ? "" : arguments[0];
    if (first == "--help" || first == "-h" || first == "help") {
        write_help(environment.out);
        return exit_code::ok;
    }
    if (first == "--version") {
        environment.out << "jujubectl " << version_text() << '\n';
        return exit_code::ok;
    }
    const std::string two_words = arguments.size() > 1 ? first + " " + arguments[1] : "";
    for (const command_entry& entry : commands) {
        if (entry.name == first) {
            return run_command(entry, {arguments.begin() + 1, arguments.end()}, environment);
        }
        if (entry.name == two_words) {
            return run_command(entry, {arguments.begin() + 2, arguments.end()}, environment);
        }
    }
    environment.err << "jujubectl: unknown command '" << first << "'\n";
    write_help(environment.err);
    return exit_code::bad_input;
}

} // namespace jujubetide
