#pragma once

#include "jujubetide/base/log.h"
#include "jujubetide/blackboard/settings_board.h"

namespace jujubetide {

/// Logs each newer revision of the settings that is in force at this node, wherever it came from.
/// Not thread-safe.
class settings_watch {
public:
    /// Both references outlive the watch.
    settings_watch(const settings_board& board, log_sink& log) : board_(board), log_(log) {}

    /// To be called now and then; revisions that followed each other meanwhile give one line.
    void look();

private:
    const settings_board& board_;
    log_sink& log_;
    revision logged_;
};

} // namespace jujubetide
