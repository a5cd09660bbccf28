#pragma once

#include "jujubetide/base/log.h"

#include <string>

namespace jujubetide {

/// Writes log lines to standard error: time, program, severity, event number and name, fields as
/// `key=value`.
class process_log final : public log_sink {
public:
    /// `program` stands in each line after the time; lines below `least` are dropped.
    explicit process_log(std::string program, log_severity least = log_severity::info);

protected:
    void do_write(const log_event& event, std::initializer_list<log_field> fields) override;

private:
    std::string program_;
    log_severity least_;
};

} // namespace jujubetide
