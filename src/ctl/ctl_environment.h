#pragma once

#include "ctl/control_client.h"

#include "jujubetide/base/clock.h"

#include <tclap/CmdLine.h>

#include <ostream>
#include <string>
#include <vector>

namespace jujubetide {

/// What a command gets from its process.
struct ctl_environment {
    std::ostream& out;
    std::ostream& err;
    const clock& time;
    /// Value of JUJUBETIDE_KEY; empty where it is not set.
    std::string key;
};

using ctl_arguments = std::vector<std::string>;

/// The command line of one command; `--help` and `--version` come with it.
class command_line {
public:
    command_line(const std::string& command, const std::string& summary);

    TCLAP::CmdLine& parser() { return parser_; }
    /// Throws TCLAP's exceptions, which `run_ctl` turns into exit codes.
    void parse(const std::string& command, const ctl_arguments& arguments);

private:
    TCLAP::CmdLine parser_;
};

/// Removes the first argument, if it is no option, and returns it; otherwise "/". Optional paths
/// are read this way, before the options.
std::string take_path(ctl_arguments& arguments);

/// Arguments of every command that calls a server.
class server_arguments {
public:
    explicit server_arguments(command_line& line);

    /// InvalidArgument where an address or the key is missing or cannot be read.
    [[nodiscard]] absl::StatusOr<control_client> connect(const ctl_environment& environment);
    [[nodiscard]] bool json_output() const { return output_.getValue() == "json"; }

private:
    [[nodiscard]] absl::StatusOr<std::string> key(const ctl_environment& environment) const;

    TCLAP::ValuesConstraint<std::string> outputs_;
    TCLAP::MultiArg<std::string> servers_;
    TCLAP::ValueArg<std::string> key_file_;
    TCLAP::ValueArg<std::string> output_;
};

} // namespace jujubetide
