#include "jujubetide/edge/json_log.h"

#include "edge/edge_events.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace jujubetide {
namespace {

/// Lines are written together from this many bytes on, or by `flush`.
constexpr std::size_t write_bytes = std::size_t{8} * 1024;
/// Quarters of the room that lines of usual events may take; the rest is for warnings, by which
/// failures are explained.
constexpr std::size_t usual_quarters = 3;

} // namespace

json_log::json_log(std::string node, const clock& time, json_log_options options)
    : node_(std::move(node)), clock_(time), options_(options) {
    const int flags = ::fcntl(options_.descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void json_log::do_write(const log_event& event, std::initializer_list<log_field> fields) {
    if (event.severity < options_.least) {
        return;
    }
    if (!is_within_rate(event) || waiting_.size() > room_for(event.severity)) {
        ++dropped_;
        return;
    }
    nlohmann::ordered_json line;
    line["t"] = clock_.wall_now().time_since_epoch().count();
    line["node"] = node_;
    line["level"] = severity_word(event.severity);
    line["event"] = event.number;
    line["name"] = event.name;
    for (const log_field& field : fields) {
        line[std::string(field.name)] = field.value;
    }
    waiting_ += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    waiting_ += '\n';
    if (waiting_.size() >= write_bytes) {
        write_waiting();
    }
}

std::size_t json_log::room_for(log_severity severity) const {
    return severity >= log_severity::warning ? options_.max_waiting_bytes
                                             : options_.max_waiting_bytes / 4 * usual_quarters;
}

bool json_log::is_within_rate(const log_event& event) {
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(clock_.now().time_since_epoch()).count();
    rate& of = rates_[event.number];
    if (of.second != second) {
        of = {second, 0};
    }
    return ++of.lines <= options_.lines_per_second;
}

void json_log::append_drops() {
    if (dropped_ == dropped_told_ || waiting_.size() > options_.max_waiting_bytes) {
        return;
    }
    const std::uint64_t lines = dropped_ - dropped_told_;
    dropped_told_ = dropped_;
    do_write(log_lines_dropped, {{"lines", std::to_string(lines)}});
}

void json_log::flush() {
    append_drops();
    write_waiting();
}

void json_log::write_waiting() {
    while (!waiting_.empty()) {
        const ssize_t written = ::write(options_.descriptor, waiting_.data(), waiting_.size());
        if (written <= 0) {
            return; // The reader is slow or gone; the rest waits or is dropped.
        }
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace jujubetide
