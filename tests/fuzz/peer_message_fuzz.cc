// Feeds arbitrary bytes as a peer's message or connection: nothing crashes, decoded messages are
// unchanged by encoding and decoding them again, and a node that receives the message still
// counts itself as alive. The first byte selects the kind of message. If the second byte is even,
// the rest is the body; if it is odd, the rest is edits to a well-formed body.
#include "entry/hand_over.h"
#include "membership/fact_messages.h"
#include "membership/load_messages.h"
#include "membership/message_codec.h"
#include "membership/settings_messages.h"
#include "peer/http2_connection.h"
#include "support/manual_clock.h"
#include "support/quiet_log.h"

#include "jujubetide/membership/membership_node.h"
#include "jujubetide/membership/parsing_snapshot_builder.h"
#include "jujubetide/moves/move_evidence_codec.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <sys/socket.h>

using namespace jujubetide;

namespace {

const node_id self_id("node-1");
const node_id peer_id("node-2");

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

/// Reads the input byte by byte; returns zeros after its end.
class input_reader {
public:
    input_reader(const std::uint8_t* data, std::size_t size) : data_(data), size_(size) {}
    [[nodiscard]] bool empty() const { return size_ == 0; }
    std::uint8_t byte() {
        if (size_ == 0) {
            return 0;
        }
        --size_;
        return *data_++;
    }
    [[nodiscard]] std::string rest() const { return {reinterpret_cast<const char*>(data_), size_}; }

private:
    const std::uint8_t* data_;
    std::size_t size_;
};

/// Replaces, inserts, erases and truncates bytes of a body as the input selects.
std::string edit_body(std::string body, input_reader& input) {
    while (!input.empty() && !body.empty()) {
        const std::size_t position = (input.byte() * 256U + input.byte()) % body.size();
        const std::uint8_t action = input.byte() % 8;
        const char value = static_cast<char>(input.byte());
        if (action < 4) {
            body[position] = value;
        } else if (action < 6) {
            body.insert(position, 1, value);
        } else if (action == 6) {
            body.erase(position, 1);
        } else {
            body.resize(position);
        }
    }
    return body;
}

template <class Message>
void check_round_trip(const std::string& body) {
    const absl::StatusOr<Message> read = wire::decode<Message>(body);
    if (!read.ok()) {
        return;
    }
    const std::string encoded = wire::encode(*read);
    const absl::StatusOr<Message> decoded = wire::decode<Message>(encoded);
    require(decoded.ok());
    require(wire::encode(*decoded) == encoded);
}

/// A valid record is unchanged by decoding and encoding it.
template <class Record>
void check_record_round_trip(const Record& record) {
    const auto value = wire::from_wire(record);
    if (value.ok()) {
        require(wire::encode(wire::to_wire(*value)) == wire::encode(record));
    }
}

void check_fact_records(const std::string& body) {
    const auto facts = wire::decode<wire::facts_message>(body);
    if (!facts.ok()) {
        return;
    }
    for (const auto& record : facts->members) {
        check_record_round_trip(record);
    }
    for (const auto& record : facts->hosts) {
        check_record_round_trip(record);
    }
    for (const auto& record : facts->moves) {
        check_record_round_trip(record);
    }
    for (const auto& record : facts->member_bodies) {
        check_record_round_trip(record);
    }
    for (const auto& record : facts->move_bodies) {
        check_record_round_trip(record);
    }
}

wire::member_record sample_member(const std::string& node) {
    return {{node, 5, 0, false, 1}, "host", "domain", "region", 0, {"127.0.0.1", 7001},
            {"127.0.0.1", 7002}};
}

std::string sample_heartbeat() {
    return wire::encode(wire::heartbeat_message{sample_member(peer_id.str()), 7, true});
}

std::string sample_facts() {
    wire::facts_message facts;
    facts.settings = 3;
    facts.members = {{self_id.str(), 9, 1, true, 1}, {"node-3", 2, 0, false, 1}};
    facts.hosts = {{"host-9", 1'700'000'000'000}};
    facts.moves = {{"diagnosis", "move-1", 77}};
    facts.wanted_members = {self_id.str()};
    facts.wanted_moves = {"diagnosis"};
    facts.member_bodies = {sample_member("node-3")};
    facts.move_bodies = {{"move-1", "diagnosis", "v1", "v2", 1'700'000'000'000, 1'700'000'100'000,
                          2, 0.5, 4, "evidence", 0}};
    facts.complete_buckets = {1, 2};
    return wire::encode(facts);
}

std::string sample_loads() {
    wire::loads_message loads;
    loads.root = peer_id.str();
    loads.stream = 11;
    loads.sequence = 5;
    loads.base = 170'000'000'000;
    loads.loads = {{1, -3, 2, 1, 4}, {2, 3, 0, 0, 0}};
    loads.details = {{1, 32, "v1", false}};
    return wire::encode(loads);
}

std::string sample_digest() {
    return wire::encode(wire::digest_message{{1, 2, 3}, {{11, 5, 3}}});
}

std::string sample_settings() {
    wire::settings_message settings;
    settings.at = 4;
    settings.documents = {{"/operators/ana", "subtrees: [/]\n"}};
    settings.removed = {"/operators/bela"};
    settings.documents_hash = 1;
    return wire::encode(settings);
}

std::string sample_hand_over() {
    hand_over_record record;
    record.request = request_id("r-1");
    record.service = service_id("diagnosis");
    record.prompt = "Why is the freezer warm?";
    record.pieces = {"one ", "two "};
    record.time_left = millis{2'000};
    return encode(record);
}

std::string sample_evidence() {
    evidence_report report;
    report.move = move_id("move-1");
    report.service = service_id("diagnosis");
    report.owner = {peer_id, incarnation(7)};
    evidence_cell cell;
    cell.key = {route_id("notes"), move_window(12), trial_arm::trial};
    cell.counts.add(true, micros{0});
    cell.counts.add(false, micros{90'000});
    report.cells = {cell};
    return encode_evidence_report(report);
}

class discarding_sender final : public message_sender {
protected:
    void do_send(const endpoint& /*peer*/, peer_message_kind /*kind*/,
                 std::string /*body*/) override {}
};

/// Delivers the message twice to a node that has one peer.
void deliver_to_node(peer_message_kind kind, const std::string& body) {
    blackboard board;
    discarding_sender sender;
    manual_clock time;
    seeded_random random(1);
    const parsing_snapshot_builder builder;
    quiet_log log;
    member self;
    self.node = self_id;
    self.failure_domain = failure_domain_id("domain");
    self.at = incarnation(5);
    membership_node node(self, {}, {board, sender, time, random, builder, log});
    (void)node.on_message({peer_id, peer_message_kind::heartbeat, sample_heartbeat()});
    for (int i = 0; i < 2; ++i) {
        (void)node.on_message({peer_id, kind, body});
        time.advance(membership_node::tick_period);
        node.on_tick();
        const auto own = board.members.find(self_id);
        require(own && own->health == member_health::alive && !own->leaving);
    }
}

void check_hand_over(const std::string& body) {
    const auto record = decode_hand_over(body);
    if (record.ok()) {
        const std::string encoded = encode(*record);
        const auto decoded = decode_hand_over(encoded);
        require(decoded.ok() && encode(*decoded) == encoded);
    }
}

void check_evidence(const std::string& body) {
    const auto report = decode_evidence_report(body);
    if (report.ok()) {
        const std::string encoded = encode_evidence_report(*report);
        const auto decoded = decode_evidence_report(encoded);
        require(decoded.ok() && encode_evidence_report(*decoded) == encoded);
    }
    const auto answer = decode_evidence_answer(body);
    if (answer.ok()) {
        require(decode_evidence_answer(encode_evidence_answer(*answer)).ok());
    }
}

/// Records the requests of a connection, which are answered with their own bodies.
class recording_listener final : public connection_listener {
public:
    std::vector<std::pair<std::int32_t, std::string>> received;

protected:
    void do_on_request(std::uint64_t /*connection*/, std::int32_t stream,
                       peer_message message) override {
        received.emplace_back(stream, std::move(message.body));
    }
    void do_on_outbound_end(std::uint64_t /*connection*/, std::size_t /*bytes*/) override {}
};

/// Lets a connection read the bytes, after the HTTP/2 connection preface if `has_preface` is set.
void check_framing(bool has_preface, const std::string& bytes) {
    constexpr std::size_t max_body_bytes = 4096;
    static const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                                     "\x00\x00\x00\x04\x00\x00\x00\x00\x00",
                                     33);
    std::array<int, 2> pair{};
    require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()) == 0);
    const unique_fd other(pair[1]);
    recording_listener listener;
    traffic_counters counters;
    http2_connection connection(1, unique_fd(pair[0]), false, {max_body_bytes}, listener, counters);
    const std::string sent = (has_preface ? preface : "") + bytes;
    require(::send(other.get(), sent.data(), sent.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(sent.size()));
    const bool is_open = connection.read();
    for (auto& [stream, body] : listener.received) {
        require(body.size() <= max_body_bytes);
        connection.respond(stream, std::move(body));
    }
    if (is_open) {
        (void)connection.write();
    }
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    input_reader input(data, size);
    const std::uint8_t target = input.byte() % 8;
    const bool edited = input.byte() % 2 == 1;
    const auto body = [&](std::string sample) {
        return edited ? edit_body(std::move(sample), input) : input.rest();
    };
    switch (target) {
    case 0: {
        const std::string heartbeat = body(sample_heartbeat());
        check_round_trip<wire::heartbeat_message>(heartbeat);
        deliver_to_node(peer_message_kind::heartbeat, heartbeat);
        break;
    }
    case 1: {
        const std::string facts = body(sample_facts());
        check_round_trip<wire::facts_message>(facts);
        check_fact_records(facts);
        deliver_to_node(peer_message_kind::facts, facts);
        break;
    }
    case 2: {
        const std::string loads = body(sample_loads());
        check_round_trip<wire::loads_message>(loads);
        deliver_to_node(peer_message_kind::loads, loads);
        break;
    }
    case 3: {
        const std::string digest = body(sample_digest());
        check_round_trip<wire::digest_message>(digest);
        deliver_to_node(peer_message_kind::digest, digest);
        break;
    }
    case 4: {
        const std::string settings = body(sample_settings());
        check_round_trip<wire::settings_message>(settings);
        deliver_to_node(peer_message_kind::settings_fetch, settings);
        break;
    }
    case 5:
        check_hand_over(body(sample_hand_over()));
        break;
    case 6:
        check_evidence(body(sample_evidence()));
        break;
    default:
        check_framing(edited, input.rest());
        break;
    }
    return 0;
}
