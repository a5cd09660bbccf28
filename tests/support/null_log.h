#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

/// Drops all log lines.
class null_log final : public log_sink {
protected:
    void do_write(const log_event& /*event*/,
                  std::initializer_list<log_field> /*fields*/) override {}
};

} // namespace jujubetide
