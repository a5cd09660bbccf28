#include "node/crash_watch.h"

#include "node/node_events.h"
#include "node/proxied_call.h"
#include "node/serving_state.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace jujubetide {
namespace {

server_run_id run_of(const backend_server& server) {
    return server_run_id(absl::StrCat(server.id.str(), "/", server.started_at_ms));
}

} // namespace

crash_watch::crash_watch(serving_state& state) : state_(state), quarantine_(state.random) {}

void crash_watch::on_broken(const backend_server& server, crash_suspects suspects,
                            std::function<void()> done) {
    finished_checks_.clear();
    const server_run_id run = run_of(server);
    running_check& running = checks_[run];
    running.server = server.id;
    running.calls.push_back({std::move(suspects), std::move(done)});
    if (!running.check) {
        running.check =
            connect_check::start(state_.loop, server.address, connect_timeout,
                                 [this, run](bool connected) { on_checked(run, connected); });
    }
}

void crash_watch::on_checked(const server_run_id& run, bool is_reachable) {
    auto node = checks_.extract(run);
    running_check finished = std::move(node.mapped());
    // The handler that is running belongs to the check.
    finished_checks_.push_back(std::move(finished.check));
    if (is_reachable) {
        finish_check(run, finished.calls, false);
        return;
    }
    // Where no other server is reached either, the host's own links are the likelier reason.
    state_.links.check_others(finished.server,
                              [this, run, calls = std::move(finished.calls)](bool reaches_others) {
                                  finish_check(run, calls, reaches_others);
                              });
}

void crash_watch::finish_check(const server_run_id& run, const std::vector<waiting_call>& calls,
                               bool is_crash) {
    bool is_urgent = false;
    if (is_crash) {
        for (const waiting_call& call : calls) {
            is_urgent = quarantine_.on_crash(run, call.suspects, state_.time.now()) || is_urgent;
        }
        state_.log.write(server_crashed,
                         {{"run", run.str()}, {"waiting_calls", absl::StrCat(calls.size())}});
    }
    apply_changes();
    for (const waiting_call& call : calls) {
        call.done();
    }
    if (is_urgent && on_evidence_) {
        on_evidence_();
    }
}

void crash_watch::on_answered(const crash_suspects& suspects) {
    quarantine_.on_answered(suspects, state_.time.now());
    apply_changes();
}

std::optional<micros> crash_watch::refusal(const crash_suspects& suspects) {
    return quarantine_.admit(suspects, state_.time.now());
}

std::vector<prompt_suspicion> crash_watch::suspicions() const {
    return quarantine_.suspicions(state_.time.now());
}

void crash_watch::on_peer_suspicions(std::span<const prompt_suspicion> suspicions) {
    if (suspicions.empty()) {
        return;
    }
    quarantine_.on_peer_suspicions(suspicions, state_.time.now());
    apply_changes();
}

void crash_watch::expire() {
    quarantine_.expire(state_.time.now());
    apply_changes();
}

void crash_watch::apply_changes() {
    const quarantine_changes changes = quarantine_.take_changes();
    for (const prompt_part_id& part : changes.removed) {
        state_.log.write(prompt_part_cleared, {{"part", part.str()}});
    }
    for (const prompt_part_id& part : changes.added) {
        state_.log.write(
            prompt_part_quarantined,
            {{"part", part.str()}, {"crashes", absl::StrCat(quarantine_.separate_crashes(part))}});
    }
    if (changes.added.empty()) {
        return;
    }
    const auto running = state_.running_calls;
    for (const auto& call : running) {
        if (quarantine_.is_blocked(call->suspects())) {
            call->stop_before_answer();
        }
    }
}

} // namespace jujubetide
