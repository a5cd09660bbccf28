#pragma once

#include "jujubetide/base/log.h"

namespace jujubetide {

/// Drops log lines.
class quiet_log final : public log_sink {
protected:
    void do_write(const log_event& /*event*/,
                  std::initializer_list<log_field> /*fields*/) override {}
};

} // namespace jujubetide
