#include "jujubetide/edge/process_log.h"

#include "edge/easylogging_setup.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <easylogging++.h>

#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace jujubetide {
namespace {

constexpr const char* logger_name = "jujubetide";

el::Level to_level(log_severity severity) {
    switch (severity) {
    case log_severity::debug:
        return el::Level::Debug;
    case log_severity::info:
        return el::Level::Info;
    case log_severity::warning:
        return el::Level::Warning;
    case log_severity::error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

void configure_logger() {
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::reconfigureLogger(logger_name, settings);
}

std::string quote_if_needed(const std::string& value) {
    if (value.find_first_of(" \"\n=") == std::string::npos) {
        return value;
    }
    return absl::StrCat(
        "\"", absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}), "\"");
}

} // namespace

process_log::process_log(std::string program, log_severity least)
    : program_(std::move(program)), least_(least) {
    static std::once_flag once;
    std::call_once(once, configure_logger);
}

void process_log::do_write(const log_event& event, std::initializer_list<log_field> fields) {
    if (event.severity < least_) {
        return;
    }
    std::string line = program_;
    line += ' ';
    line += severity_word(event.severity);
    absl::StrAppend(&line, " JT", event.number, " ");
    line += event.name;
    for (const log_field& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quote_if_needed(field.value);
    }
    el::Loggers::getLogger(logger_name); // Registers the logger on this thread's first use.
    switch (to_level(event.severity)) {
    case el::Level::Debug:
        CLOG(DEBUG, logger_name) << line;
        break;
    case el::Level::Info:
        CLOG(INFO, logger_name) << line;
        break;
    case el::Level::Warning:
        CLOG(WARNING, logger_name) << line;
        break;
    default:
        CLOG(ERROR, logger_name) << line;
        break;
    }
}

} // namespace jujubetide
