#pragma once

namespace jujubetide {

/// Blocks SIGTERM and SIGINT for all threads and ignores SIGPIPE; call first in main.
void block_shutdown_signals();
/// Waits for SIGTERM or SIGINT.
void wait_for_shutdown_signal();

} // namespace jujubetide
