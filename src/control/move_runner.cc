#include "control/move_runner.h"

#include "control/control_events.h"
#include "control/move_codec.h"
#include "control/move_settings.h"

#include "jujubetide/moves/move_evidence_codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

// Steps towards risk (raise, finish) need the lease and a transaction on the row that the decision
// was made on. Steps towards safety (stop, take back) are published first and recorded when the
// table can be reached, by any control process.

namespace jujubetide {
namespace {

constexpr micros renewal_period{4'000'000};
/// How often a process without the lease reads the moves, which it learns by flooded facts.
constexpr micros reading_period{30'000'000};
/// How long an entry that knows where to report may be silent.
constexpr millis longest_silence{2'500};

} // namespace

void move_runner::step() {
    parts_.lease.step_each(renewal_period);
    read_rows();
    for (const stored_move& stored : rows_) {
        // Others read the table rarely; what is new here may be new to them.
        if (parts_.board.moves.merge(stored.move)) {
            parts_.facts.move(stored.move);
        }
        if (!is_recorded_end(stored.move)) {
            step_move(stored);
        }
    }
}

void move_runner::read_rows() {
    const time_point now = parts_.time.now();
    const bool due = last_read_ == time_point{} || now - last_read_ >= reading_period;
    if (!parts_.lease.held() && !due) {
        return;
    }
    if (auto read = parts_.moves.list(); read.ok()) {
        rows_ = *std::move(read);
        last_read_ = now;
    }
}

void move_runner::step_move(const stored_move& stored) {
    const auto known = parts_.board.moves.of_service(stored.move.service);
    if (!known || known->id != stored.move.id || is_recorded_end(*known)) {
        return;
    }
    if (known->state == move_state::taken_back) {
        record_stop(stored);
        return;
    }
    if (!parts_.lease.held()) {
        const std::lock_guard lock(mutex_);
        controllers_.erase(stored.move.service);
        return;
    }
    move_action action;
    std::vector<node_id> silent;
    {
        const std::lock_guard lock(mutex_);
        const std::vector<node_id> entries = live_entries();
        const wall_time now = parts_.time.wall_now();
        move_controller& controller = controller_of(stored.move);
        action = controller.decide(*known, entries, now);
        silent = controller.silent(entries, now - longest_silence);
    }
    for (const node_id& entry : silent) {
        tell_entry(entry, *known, std::nullopt);
    }
    apply(stored, action);
}

void move_runner::record_stop(const stored_move& stored) {
    const auto known = parts_.board.moves.of_service(stored.move.service);
    version_move ended = *known;
    ended.step = std::max(known->step, stored.move.step.next());
    ended.ended = parts_.time.wall_now();
    (void)write(stored, ended);
}

void move_runner::apply(const stored_move& stored, const move_action& action) {
    switch (action.what) {
    case move_action::kind::none:
        return;
    case move_action::kind::take_back:
        publish_stop(stored.move, action.record.evidence);
        (void)write(stored, action.record);
        return;
    case move_action::kind::raise:
    case move_action::kind::finish:
        // The lease may have lapsed while the decision was made.
        if (parts_.lease.held()) {
            (void)write(stored, action.record);
        }
        return;
    }
}

void move_runner::publish_stop(const version_move& move, const std::string& evidence) {
    parts_.board.moves.take_back(move.service, move.id, evidence);
    if (const auto stopped = parts_.board.moves.of_service(move.service)) {
        parts_.facts.move(*stopped);
    }
}

absl::Status move_runner::write(const stored_move& stored, const version_move& after) {
    const move_actor actor{self_.str(), "", parts_.time.wall_now()};
    absl::Status written = parts_.moves.write(stored.version, after, actor);
    if (!written.ok()) {
        parts_.log.write(move_step_not_written,
                         {{"move", after.id.str()}, {"reason", std::string(written.message())}});
        return written;
    }
    parts_.facts.move(after);
    parts_.log.write(move_step_written, {{"move", after.id.str()},
                                         {"state", move_state_name(after.state)},
                                         {"share", absl::StrCat(after.share)},
                                         {"evidence", after.evidence}});
    return written;
}

move_controller& move_runner::controller_of(const version_move& move) {
    auto& controller = controllers_[move.service];
    if (!controller || controller->move() != move.id) {
        controller = std::make_unique<move_controller>(move, move_settings_for(parts_.board, move));
    }
    return *controller;
}

std::vector<node_id> move_runner::live_entries() const {
    std::vector<node_id> entries;
    for (const member& node : parts_.board.members.all()) {
        if (node.role == node_role::entry && node.health != member_health::dead && !node.leaving) {
            entries.push_back(node.node);
        }
    }
    return entries;
}

absl::Status move_runner::receive(const peer_message& message) {
    const auto report = decode_evidence_report(message.body);
    if (!report.ok()) {
        return report.status();
    }
    const auto known = parts_.board.moves.of_service(report->service);
    if (!known || known->id != report->move || !parts_.lease.held()) {
        return absl::OkStatus();
    }
    {
        const std::lock_guard lock(mutex_);
        const auto controller = controllers_.find(report->service);
        if (controller == controllers_.end()) {
            return absl::OkStatus();
        }
        controller->second->receive(*report, parts_.time.wall_now());
    }
    if (known->state != move_state::taken_back) {
        tell_entry(report->owner.node, *known, report->sent_at);
    }
    return absl::OkStatus();
}

void move_runner::tell_entry(const node_id& entry, const version_move& move,
                             std::optional<time_point> sent_at) {
    if (const auto node = parts_.board.members.find(entry)) {
        // What is lost is told again.
        (void)parts_.link.send(
            node->peer_address, peer_message_kind::move_evidence,
            encode_evidence_answer({move.service, move.id, move.step, sent_at, self_}));
    }
}

} // namespace jujubetide
