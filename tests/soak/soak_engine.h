#pragma once

#include "soak/soak_report.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/net/event_loop.h"
#include "jujubetide/net/tcp_acceptor.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

class soak_engine_session;

struct soak_engine_settings {
    std::string id;
    endpoint listen;
    /// Whether requests are answered with events.
    bool streams = false;
    std::uint64_t seed = 1;
    std::size_t slots = 8;
    std::size_t queue = 4;
    std::size_t max_connections = 64;
    /// Whether a request whose connection closes while it waits for a slot is dropped.
    bool drops = true;
    std::uint64_t copies_percent = 10;
    /// Whether a copy may bear the id of the request that it precedes.
    bool own_copies = true;
    std::uint64_t refusals_percent = 5;
    std::uint64_t faults_permille = 30;
    millis idle{1'500};
};

/// A backend server after the users' protocol, with the faults that the protocol allows. Each run
/// is reported before it begins.
class soak_engine {
public:
    /// Unavailable when the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<soak_engine>>
    make(event_loop& loop, soak_engine_settings settings, const soak_report& report);
    ~soak_engine();
    soak_engine(const soak_engine&) = delete;
    soak_engine& operator=(const soak_engine&) = delete;

    [[nodiscard]] const soak_engine_settings& settings() const { return settings_; }
    [[nodiscard]] event_loop& loop() { return loop_; }
    [[nodiscard]] bool chance(std::uint64_t percent) { return random_.below(100) < percent; }
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return random_.below(bound); }
    [[nodiscard]] bool is_full() const;
    /// Runs the session's request now, or when a slot becomes free.
    void admit(soak_engine_session& session);
    void withdraw(const soak_engine_session& session);
    void release();
    void report(const std::string& line) const { report_.write(line); }

private:
    soak_engine(event_loop& loop, soak_engine_settings settings, const soak_report& report);
    void accept(std::shared_ptr<tcp_connection> connection);
    void remove_ended();

    event_loop& loop_;
    soak_engine_settings settings_;
    const soak_report& report_;
    seeded_random random_;
    std::size_t running_ = 0;
    std::deque<soak_engine_session*> queue_;
    std::vector<std::unique_ptr<soak_engine_session>> sessions_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    std::unique_ptr<timer_subscription> removing_;
};

} // namespace jujubetide
