#include "jujubetide/moves/move_evidence_codec.h"

#include <msgpack.hpp>

#include <utility>
#include <vector>

namespace jujubetide {
namespace {

constexpr std::size_t max_cells = 4'096;

struct wire_cell {
    std::string route;
    std::uint32_t window = 0;
    std::uint8_t arm = 0;
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    /// Latency buckets that are not empty, with their counts.
    std::vector<std::pair<std::uint8_t, std::uint32_t>> buckets;
    MSGPACK_DEFINE(route, window, arm, requests, failures, buckets)
};

struct wire_report {
    std::string move;
    std::string service;
    std::string node;
    std::uint64_t incarnation_number = 0;
    std::uint64_t step = 0;
    bool stopped = false;
    std::int64_t sent_at_micros = 0;
    std::vector<wire_cell> cells;
    MSGPACK_DEFINE(move, service, node, incarnation_number, step, stopped, sent_at_micros, cells)
};

struct wire_answer {
    std::string service;
    std::string move;
    std::uint64_t step = 0;
    bool has_sent_at = false;
    std::int64_t sent_at_micros = 0;
    std::string steering;
    MSGPACK_DEFINE(service, move, step, has_sent_at, sent_at_micros, steering)
};

std::int64_t to_micros(time_point time) {
    return time.time_since_epoch().count();
}

wire_cell to_wire(const evidence_cell& cell) {
    wire_cell wire{
        cell.key.route.str(), cell.key.window.value(), static_cast<std::uint8_t>(cell.key.arm),
        cell.counts.requests, cell.counts.failures,    {}};
    const auto& counts = cell.counts.latencies.counts();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts.at(i) > 0) {
            wire.buckets.emplace_back(static_cast<std::uint8_t>(i), counts.at(i));
        }
    }
    return wire;
}

absl::StatusOr<evidence_cell> from_wire(const wire_cell& wire) {
    const bool known_arm = wire.arm <= static_cast<std::uint8_t>(trial_arm::trial);
    if (!known_arm || wire.route.empty() || wire.failures > wire.requests) {
        return absl::InvalidArgumentError("evidence cell is malformed");
    }
    evidence_cell cell;
    cell.key = {route_id(wire.route), move_window(wire.window), static_cast<trial_arm>(wire.arm)};
    cell.counts.requests = wire.requests;
    cell.counts.failures = wire.failures;
    std::uint64_t latencies = 0;
    for (const auto& [bucket, count] : wire.buckets) {
        latencies += count;
        if (bucket >= latency_histogram::bucket_count || latencies > wire.requests) {
            return absl::InvalidArgumentError("latency bucket is out of range");
        }
        cell.counts.latencies.add_bucket(bucket, count);
    }
    return cell;
}

template <class Wire>
absl::StatusOr<Wire> unpack(const std::string& body) {
    try {
        // Every element takes a byte at least; without limits a few bytes claim gigabytes.
        constexpr std::size_t max_depth = 8;
        const std::size_t size = body.size();
        const msgpack::unpack_limit limit(size, size, size, size, size, max_depth);
        std::size_t read = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(body.data(), size, read, nullptr, nullptr, limit);
        if (read != body.size()) {
            return absl::InvalidArgumentError("bytes after the message");
        }
        return handle.get().as<Wire>();
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace

std::string encode_evidence_report(const evidence_report& report) {
    wire_report wire{report.move.str(),         report.service.str(),
                     report.owner.node.str(),   report.owner.at.value(),
                     report.step.value(),       report.stopped,
                     to_micros(report.sent_at), {}};
    for (const evidence_cell& cell : report.cells) {
        wire.cells.push_back(to_wire(cell));
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<evidence_report> decode_evidence_report(const std::string& body) {
    const absl::StatusOr<wire_report> wire = unpack<wire_report>(body);
    if (!wire.ok()) {
        return wire.status();
    }
    if (wire->move.empty() || wire->node.empty() || wire->cells.size() > max_cells) {
        return absl::InvalidArgumentError("evidence report is malformed");
    }
    evidence_report report{move_id(wire->move),
                           service_id(wire->service),
                           {node_id(wire->node), incarnation(wire->incarnation_number)},
                           sequence_number(wire->step),
                           wire->stopped,
                           {},
                           time_point(micros(wire->sent_at_micros))};
    for (const wire_cell& part : wire->cells) {
        absl::StatusOr<evidence_cell> cell = from_wire(part);
        if (!cell.ok()) {
            return cell.status();
        }
        report.cells.push_back(*std::move(cell));
    }
    return report;
}

std::string encode_evidence_answer(const evidence_answer& answer) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire_answer{answer.service.str(), answer.move.str(), answer.step.value(),
                                      answer.sent_at.has_value(),
                                      to_micros(answer.sent_at.value_or(time_point{})),
                                      answer.steering.str()});
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<evidence_answer> decode_evidence_answer(const std::string& body) {
    const absl::StatusOr<wire_answer> wire = unpack<wire_answer>(body);
    if (!wire.ok()) {
        return wire.status();
    }
    if (wire->service.empty() || wire->move.empty() || wire->steering.empty()) {
        return absl::InvalidArgumentError("evidence answer is malformed");
    }
    std::optional<time_point> sent_at;
    if (wire->has_sent_at) {
        sent_at = time_point(micros(wire->sent_at_micros));
    }
    return evidence_answer{service_id(wire->service), move_id(wire->move),
                           sequence_number(wire->step), sent_at, node_id(wire->steering)};
}

} // namespace jujubetide
