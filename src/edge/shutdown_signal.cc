#include "jujubetide/edge/shutdown_signal.h"

#include <csignal>

namespace jujubetide {
namespace {

sigset_t shutdown_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_shutdown_signals() {
    const sigset_t signals = shutdown_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_shutdown_signal() {
    const sigset_t signals = shutdown_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace jujubetide
