#include "control/move_codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace jujubetide {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 5> state_names{"planned", "canary", "ramp", "done", "taken_back"};

move_state state_from(const std::string& name) {
    const auto* found = std::find(state_names.begin(), state_names.end(), name);
    if (found == state_names.end()) {
        throw std::invalid_argument("unknown state " + name);
    }
    return static_cast<move_state>(found - state_names.begin());
}

std::int64_t to_number(wall_time time) {
    return time.time_since_epoch().count();
}

wall_time time_from(const json& value) {
    return wall_time(millis(value.get<std::int64_t>()));
}

json to_json(const version_move& move) {
    return {{"id", move.id.str()},
            {"service", move.service.str()},
            {"from", move.from.str()},
            {"to", move.to.str()},
            {"start_ms", to_number(move.start)},
            {"due_ms", to_number(move.due)},
            {"state", move_state_name(move.state)},
            {"share", move.share},
            {"step", move.step.value()},
            {"evidence", move.evidence},
            {"ended_ms", to_number(move.ended)}};
}

version_move move_from(const json& value) {
    version_move move;
    move.id = move_id(value.at("id").get<std::string>());
    move.service = service_id(value.at("service").get<std::string>());
    move.from = version_id(value.at("from").get<std::string>());
    move.to = version_id(value.at("to").get<std::string>());
    move.start = time_from(value.at("start_ms"));
    move.due = time_from(value.at("due_ms"));
    move.state = state_from(value.at("state").get<std::string>());
    move.share = value.at("share").get<double>();
    move.step = sequence_number(value.at("step").get<std::uint64_t>());
    move.evidence = value.at("evidence").get<std::string>();
    move.ended = time_from(value.at("ended_ms"));
    return move;
}

template <class Record, class Read>
absl::StatusOr<Record> decode(const std::string& text, Read&& read) {
    try {
        return read(json::parse(text));
    } catch (const std::exception& error) {
        return absl::DataLossError(absl::StrCat("unreadable move: ", error.what()));
    }
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string move_state_name(move_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

std::string tell_move(const version_move& move) {
    json told = to_json(move);
    if (move.state == move_state::taken_back && !is_recorded_end(move)) {
        told["state"] = "stopped";
    }
    return dump(told);
}

std::string encode_move(const version_move& move) {
    return dump(to_json(move));
}

absl::StatusOr<version_move> decode_move(const std::string& text) {
    return decode<version_move>(text, move_from);
}

std::string encode_move_audit(const move_audit_record& record) {
    return dump({{"actor", record.actor.name},
                 {"comment", record.actor.comment},
                 {"at_ms", to_number(record.actor.at)},
                 {"move", to_json(record.after)}});
}

absl::StatusOr<move_audit_record> decode_move_audit(const std::string& text) {
    return decode<move_audit_record>(text, [](const json& value) {
        return move_audit_record{{value.at("actor").get<std::string>(),
                                  value.at("comment").get<std::string>(),
                                  time_from(value.at("at_ms"))},
                                 move_from(value.at("move"))};
    });
}

} // namespace jujubetide
