// Model engines as processes of their own, which may crash and come back.
#pragma once

#include "nodes.h"
#include "servers.h"

namespace standin {

using std::chrono::milliseconds;

/// A process that plays an engine: begins each answer after `first_event`, and ends when it begins
/// one on a request with the part "bad".
inline void play_engine(const address& at, const std::string& id, milliseconds first_event) {
    const server listening(at, [&](const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            const std::string attempt = request->header("x-attempt-id");
            if (request->header("x-expect-instance") != id) {
                from.send_all(
                    response(421, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", ""));
                continue;
            }
            std::this_thread::sleep_for(first_event);
            if (request->header("x-prompt-prefix").find(",bad:") != std::string::npos) {
                std::_Exit(1);
            }
            const std::string event = "id: 1\ndata: token-" + attempt + "\n\n";
            if (!from.send_all(response(200,
                                        "Content-Type: text/event-stream\r\nX-Attempt-Id: " +
                                            attempt + "\r\nX-Upstream-Signature: " + id + "\r\n",
                                        event))) {
                return;
            }
        }
    });
    for (;;) {
        ::pause();
    }
}

/// Starts the engines' processes, keeps their rows in the store, and starts them again after a
/// crash, under another id.
class engine_pool {
public:
    struct options {
        std::size_t count = 4;
        milliseconds first_event{30};
        /// Time from a crash until the engine is back.
        milliseconds restart{3'000};
    };
    engine_pool(const place& where, row_store& store, const char* program, const options& how,
                record& to)
        : place_(where), store_(store), program_(program), options_(how), record_(to),
          engines_(how.count) {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            start(i);
        }
        thread_ = std::thread([this] {
            for (;;) {
                step();
                std::this_thread::sleep_for(milliseconds(20));
            }
        });
    }
    int crashes() const { return crashes_; }
    /// Crashes the first `count` engines.
    void crash(std::size_t count) {
        const std::lock_guard lock(mutex_);
        for (std::size_t i = 0; i < count && i < engines_.size(); ++i) {
            if (engines_[i].pid > 0) {
                ::kill(engines_[i].pid, SIGKILL);
            }
        }
    }
    void kill() {
        const std::lock_guard lock(mutex_);
        is_over_ = true;
        for (const engine_process& one : engines_) {
            if (one.pid > 0) {
                ::kill(one.pid, SIGKILL);
                ::waitpid(one.pid, nullptr, 0);
            }
        }
    }

private:
    static constexpr milliseconds heartbeat{1'200};
    struct engine_process {
        pid_t pid = -1;
        std::string id;
        std::int64_t born = 0;
        std::chrono::steady_clock::time_point ended;
        std::chrono::steady_clock::time_point written;
        int sequence = 0;
    };

    void start(std::size_t index) {
        engine_process& one = engines_[index];
        char id[32];
        std::snprintf(id, sizeof id, "i-%08x", 0x51f0a300U + static_cast<unsigned>(++starts_));
        one.id = id;
        one.born = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
        const address at = address_of(index);
        const std::string port = std::to_string(at.port);
        const std::string first_event = std::to_string(options_.first_event.count());
        one.pid = ::fork();
        if (one.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            unblock_signals();
            ::execl(program_, program_, "engine", at.ip.c_str(), port.c_str(), id,
                    first_event.c_str(), nullptr);
            ::_exit(127);
        }
        children().add(one.pid);
        one.written = {};
    }
    address address_of(std::size_t index) const {
        return place_.at(111 + static_cast<int>(index), 8422);
    }
    void step() {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; !is_over_ && i < engines_.size(); ++i) {
            engine_process& one = engines_[i];
            if (one.pid > 0 && ::waitpid(one.pid, nullptr, WNOHANG) == one.pid) {
                one.pid = -1;
                one.ended = now;
                ++crashes_;
                record_.write("engine " + one.id + " has crashed");
            }
            const bool is_back = now - one.ended >= options_.restart;
            if (one.pid < 0 && !one.id.empty() && (is_back || now - one.written >= 3 * heartbeat)) {
                store_.remove("servers", std::exchange(one.id, {})); // It is silent.
            }
            if (one.pid < 0 && is_back) {
                start(i);
            }
            if (one.pid > 0 && now - one.written >= heartbeat) {
                one.written = now;
                store_.put("servers", one.id,
                           {{"service", "kaba98a"},
                            {"address", address_of(i).str()},
                            {"zone", "bratislava-port"},
                            {"version", "v1"},
                            {"slots", 64},
                            {"state", "ready"},
                            {"coldRemainingMs", 0},
                            {"sequence", ++one.sequence},
                            {"born", one.born}});
            }
        }
    }

    const place& place_;
    row_store& store_;
    const char* program_;
    options options_;
    record& record_;
    std::mutex mutex_;
    std::vector<engine_process> engines_;
    std::atomic<int> crashes_{0};
    int starts_ = 0;
    bool is_over_ = false;
    std::thread thread_;
};

/// Plays an engine if the arguments are those that `engine_pool` starts the program with.
inline void play_engine_if_asked(int count, char** arguments) {
    if (count == 6 && std::string(arguments[1]) == "engine") {
        play_engine({arguments[2], static_cast<std::uint16_t>(std::atoi(arguments[3]))},
                    arguments[4], milliseconds(std::atoi(arguments[5])));
    }
}

} // namespace standin
