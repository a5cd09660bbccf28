#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jujubetide {

enum class log_severity { debug, info, warning, error };

/// The word for a severity in log lines.
std::string_view severity_word(log_severity severity);

/// A kind of log line. Each subsystem declares its own in `src/<subsystem>/<subsystem>_events.h`;
/// docs/EVENTS.md lists all of them by number.
struct log_event {
    int number;
    log_severity severity;
    std::string_view name;
};

struct log_field {
    std::string_view name;
    std::string value;
};

/// Receives log lines. Thread-safe.
class log_sink {
public:
    virtual ~log_sink() = default;
    void write(const log_event& event, std::initializer_list<log_field> fields) {
        do_write(event, fields);
    }

protected:
    log_sink() = default;
    log_sink(const log_sink&) = default;
    log_sink& operator=(const log_sink&) = default;
    virtual void do_write(const log_event& event, std::initializer_list<log_field> fields) = 0;
};

} // namespace jujubetide
