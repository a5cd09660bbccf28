// Nodes that know each other's calls only as of their heartbeats, before brittle servers.
#include "jujubetide/base/random_source.h"
#include "jujubetide/serving/brittle_servers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <string>
#include <vector>

using namespace jujubetide;

namespace {

/// A server with `slots` places and no queue, which falls when it rejects too many calls.
struct brittle_engine {
    std::size_t slots;
    std::uint32_t allowed;
    std::vector<time_point> ends;
    std::deque<time_point> rejections;
    int falls = 0;

    bool accept(time_point now, micros duration) {
        std::erase_if(ends, [now](time_point end) { return end <= now; });
        if (ends.size() < slots) {
            ends.push_back(now + duration);
            return true;
        }
        rejections.push_back(now);
        while (now - rejections.front() >= std::chrono::seconds(1)) {
            rejections.pop_front();
        }
        if (rejections.size() > allowed) {
            ++falls;
            rejections.clear();
            ends.clear();
        }
        return false;
    }
};

struct played {
    int falls = 0;
    int served = 0;
    int rejected = 0;
};

/// Four servers, and nodes at which calls arrive at random. Guarded nodes use `brittle_servers`;
/// others send every call to the server with the fewest.
class brittle_model {
public:
    struct shape {
        std::size_t nodes;
        std::size_t slots;
        std::uint32_t allowed;
        micros duration;
    };

    brittle_model(const shape& of, bool is_guarded, std::uint64_t seed)
        : shape_(of), is_guarded_(is_guarded), random_(seed),
          engines_(server_count, {of.slots, of.allowed, {}, {}, 0}),
          own_(of.nodes, std::vector<std::size_t>(server_count)), told_(own_) {
        for (std::size_t i = 0; i < server_count; ++i) {
            ids_.emplace_back("i-" + std::to_string(i));
        }
        for (std::size_t i = 0; i < of.nodes; ++i) {
            guards_.emplace_back(random_);
            guards_.back().set_nodes(of.nodes);
            for (const auto& id : ids_) {
                guards_.back().on_answer(id, of.allowed);
            }
        }
    }
    /// Plays 30 s with `rate` calls a second for each server.
    played play(double rate) {
        constexpr micros length = std::chrono::seconds(30);
        const double calls_per_tick =
            rate * server_count * std::chrono::duration<double>(tick).count();
        double due = 0.0;
        for (; now_.time_since_epoch() < length; now_ += tick) {
            end_calls();
            send_heartbeats();
            due += calls_per_tick;
            while (due > 0.0) {
                place_call(random_.below(shape_.nodes));
                due += std::log(1.0 - random_.uniform()); // Exponential gaps.
            }
        }
        for (const brittle_engine& engine : engines_) {
            result_.falls += engine.falls;
        }
        return result_;
    }

private:
    static constexpr std::size_t server_count = 4;
    static constexpr micros tick{5'000};
    static constexpr micros heartbeat{300'000};
    struct running_call {
        time_point end;
        std::size_t node;
        std::size_t server;
    };

    void end_calls() {
        std::erase_if(running_, [this](const running_call& call) {
            if (call.end > now_) {
                return false;
            }
            --own_[call.node][call.server];
            return true;
        });
    }
    void send_heartbeats() {
        for (std::size_t i = 0; i < shape_.nodes; ++i) {
            const micros phase = heartbeat * static_cast<int>(i) / static_cast<int>(shape_.nodes);
            if ((now_.time_since_epoch() - phase) / tick % (heartbeat / tick) == 0) {
                told_[i] = own_[i];
            }
        }
    }
    /// The calls at a server that `node` knows of.
    [[nodiscard]] std::size_t known_calls(std::size_t node, std::size_t server) const {
        std::size_t sum = own_[node][server];
        for (std::size_t other = 0; other < shape_.nodes; ++other) {
            sum += other == node ? 0 : told_[other][server];
        }
        return sum;
    }
    std::optional<std::size_t> choose(std::size_t node) {
        std::optional<std::size_t> chosen;
        std::size_t fewest = 0;
        const std::size_t first = random_.below(server_count);
        for (std::size_t step = 0; step < server_count; ++step) {
            const std::size_t i = (first + step) % server_count;
            const std::size_t calls = known_calls(node, i);
            const bool may_send =
                !is_guarded_ || guards_[node].may_send(ids_[i], shape_.slots, calls, now_);
            if (may_send && (!chosen || calls < fewest)) {
                chosen = i;
                fewest = calls;
            }
        }
        return chosen;
    }
    void place_call(std::size_t node) {
        const std::optional<std::size_t> server = choose(node);
        if (!server) {
            return;
        }
        if (engines_[*server].accept(now_, shape_.duration)) {
            ++own_[node][*server];
            running_.push_back({now_ + shape_.duration, node, *server});
            ++result_.served;
        } else {
            guards_[node].on_rejected(ids_[*server], now_);
            ++result_.rejected;
        }
    }

    shape shape_;
    bool is_guarded_;
    seeded_random random_;
    std::vector<brittle_engine> engines_;
    std::vector<backend_server_id> ids_;
    std::vector<brittle_servers> guards_;
    // Calls that run, by node and server, and what the node's last heartbeat said of them.
    std::vector<std::vector<std::size_t>> own_;
    std::vector<std::vector<std::size_t>> told_;
    std::vector<running_call> running_;
    time_point now_{};
    played result_;
};

} // namespace

TEST_CASE("brittle servers under more calls than they have room for do not fall") {
    // Falls that the rule allows to one service: two and a tenth of its servers.
    constexpr int allowed_falls = 2;
    using shape = brittle_model::shape;
    for (const shape& of : {shape{7, 6, 3, millis{150}}, shape{7, 64, 3, millis{1'500}},
                            shape{72, 16, 4, millis{1'500}}, shape{72, 6, 2, millis{150}}}) {
        const double capacity =
            static_cast<double>(of.slots) / std::chrono::duration<double>(of.duration).count();
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            INFO(of.nodes << " nodes, " << of.slots << " slots, seed " << seed);
            const played guarded = brittle_model(of, true, seed).play(capacity * 1.5);
            const played unguarded = brittle_model(of, false, seed).play(capacity * 1.5);
            CHECK(unguarded.falls > allowed_falls);
            CHECK(guarded.falls <= allowed_falls);
            CHECK(guarded.served > 0);
        }
    }
}

TEST_CASE(
    "a brittle server with room gets every call of a small demand, and one that is full none") {
    seeded_random random(1);
    brittle_servers tested(random);
    tested.set_nodes(3);
    const backend_server_id server("i-1");
    time_point now{std::chrono::seconds(10)};
    CHECK(tested.may_send(server, 1, 5, now)); // Not brittle.
    CHECK(tested.on_answer(server, 2));
    CHECK_FALSE(tested.on_answer(server, 2));
    for (int call = 0; call < 20; ++call) {
        now += std::chrono::seconds(2);
        CHECK(tested.may_send(server, 6, 1, now));
    }
    CHECK_FALSE(tested.may_send(server, 6, 6, now));
}

TEST_CASE("a node pauses after a brittle server's rejection so that all nodes' stay allowed") {
    seeded_random random(1);
    brittle_servers tested(random);
    tested.set_nodes(3);
    const backend_server_id server("i-1");
    const time_point now{std::chrono::seconds(10)};
    tested.on_answer(server, 1);
    tested.on_rejected(server, now);
    CHECK_FALSE(tested.may_send(server, 8, 0, now + std::chrono::seconds(3)));
    CHECK(tested.may_send(server, 8, 0, now + std::chrono::seconds(4)));
    CHECK(tested.on_answer(server, std::nullopt));
    tested.on_rejected(server, now);
    CHECK(tested.may_send(server, 8, 8, now));
}
