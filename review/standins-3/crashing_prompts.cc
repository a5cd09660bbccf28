// Requests of one session, whose long prompts hold a part that crashes each engine that begins to
// answer them: do other callers still get answers?
#include "nodes.h"
#include "servers.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int engine_count = 4;
constexpr milliseconds engine_restart{3'000};
/// Of the limit of 16,384 bytes; the rest is for the other headers and what separates them.
constexpr std::size_t parts_header_bytes = 15'000;
constexpr milliseconds session_interval{250};
constexpr milliseconds read_interval{100};
constexpr milliseconds calm_time{4'000};
constexpr milliseconds trouble_time{30'000};
/// The route's `timeoutMs`, and the time after it that the rule gives.
constexpr milliseconds route_timeout{1'200};
constexpr milliseconds slack{500};

/// A process that plays an engine; it ends when it begins to run a request with the part.
void play_engine(const address& at, const std::string& id, const std::string& log) {
    record to(log);
    const server listening(at, [&](const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            const std::string attempt = request->header("x-attempt-id");
            if (request->header("x-expect-instance") != id) {
                from.send_all(
                    response(421, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", ""));
                continue;
            }
            std::this_thread::sleep_for(milliseconds(30));
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
    engine_pool(const place& where, row_store& store, const char* program, record& to)
        : place_(where), store_(store), program_(program), record_(to) {
        for (int i = 0; i < engine_count; ++i) {
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
    struct engine_process {
        pid_t pid = -1;
        std::string id;
        std::int64_t born = 0;
        std::chrono::steady_clock::time_point ended;
        std::chrono::steady_clock::time_point written;
        int sequence = 0;
    };

    void start(int index) {
        engine_process& one = engines_[static_cast<std::size_t>(index)];
        char id[32];
        std::snprintf(id, sizeof id, "i-%08x", 0x51f0a300U + static_cast<unsigned>(++starts_));
        one.id = id;
        one.born = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
        const address at = address_of(index);
        const std::string port = std::to_string(at.port);
        const std::string log = place_.folder() + "/" + one.id + ".log";
        one.pid = ::fork();
        if (one.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            unblock_signals();
            ::execl(program_, program_, "engine", at.ip.c_str(), port.c_str(), id, log.c_str(),
                    nullptr);
            ::_exit(127);
        }
        children().add(one.pid);
        one.written = {};
    }
    address address_of(int index) const { return place_.at(111 + index, 8422); }
    void step() {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        for (int i = 0; !is_over_ && i < engine_count; ++i) {
            engine_process& one = engines_[static_cast<std::size_t>(i)];
            if (one.pid > 0 && ::waitpid(one.pid, nullptr, WNOHANG) == one.pid) {
                one.pid = -1;
                one.ended = now;
                ++crashes_;
                record_.write("engine " + one.id + " has crashed");
            }
            if (one.pid < 0 && now - one.ended >= engine_restart) {
                store_.remove("servers", one.id);
                start(i);
            }
            if (one.pid > 0 && now - one.written >= milliseconds(1'200)) {
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
    record& record_;
    std::mutex mutex_;
    engine_process engines_[engine_count];
    std::atomic<int> crashes_{0};
    int starts_ = 0;
    bool is_over_ = false;
    std::thread thread_;
};

std::string session_parts(int number) {
    std::string parts = "5c1e07a2:1";
    for (int part = 1; parts.size() < parts_header_bytes; ++part) {
        char text[32];
        std::snprintf(text, sizeof text, ",%x:1", part);
        parts += text;
    }
    parts += has_trouble() ? ",bad:1" : ",b0d:1";
    return parts + ",e" + std::to_string(number) + ":1";
}

/// A read by another caller, on a new connection.
struct read_result {
    double sent = 0.0;
    /// Seconds until the answer; negative if there was none.
    double took = -1.0;
    int status = 0;
};

[[noreturn]] void run(record& to, const char* program) {
    place& where = *new place;
    row_store& store = *new row_store(where.store());
    plain_server& server =
        *new plain_server(where.at(101, 8422), "i-7f3a91c2", milliseconds(30), to);
    writers& written = *new writers(store, {&server});
    (void)written;
    node_list nodes;
    nodes.push_back(std::make_unique<node>(where, 1, "bratislava-port", false, to));
    nodes.front()->start();
    engine_pool& engines = *new engine_pool(where, store, program, to);
    const address front = nodes.front()->front();
    const auto finish = [&](int result) {
        engines.kill();
        end_run(where, nodes, result);
    };
    if (!wait_until(
            [&] {
                const auto answer =
                    call(front, caller_request("GET", "/hugo494/", "calm", "key-one"),
                         milliseconds(2'500));
                return answer && answer->status() == 200;
            },
            milliseconds(15'000))) {
        to.write("the node does not serve");
        finish(could_not_run);
    }
    std::this_thread::sleep_for(milliseconds(1'500));
    std::mutex& mutex = *new std::mutex;
    auto& reads = *new std::vector<read_result>;
    std::atomic<bool>& stopping = *new std::atomic<bool>(false);
    std::thread reader([&] {
        for (int i = 0; !stopping; ++i) {
            std::thread([&, i] {
                read_result result;
                result.sent = to.seconds();
                const auto answer =
                    call(front,
                         caller_request("GET", "/hugo494/", "read-" + std::to_string(i), "key-two"),
                         milliseconds(2'500));
                if (answer) {
                    result.took = to.seconds() - result.sent;
                    result.status = answer->status();
                }
                const std::lock_guard lock(mutex);
                reads.push_back(result);
            }).detach();
            std::this_thread::sleep_for(read_interval);
        }
    });
    std::this_thread::sleep_for(calm_time);
    const double trouble = to.seconds();
    to.write("the session's requests begin, with heads of " +
             std::to_string(session_parts(0).size()) + " bytes of parts");
    std::thread session([&] {
        for (int i = 0; !stopping; ++i) {
            std::thread([&, i] {
                const std::string parts = session_parts(i);
                const auto count = std::count(parts.begin(), parts.end(), ',') + 1;
                const std::string request =
                    "POST /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: session-" +
                    std::to_string(i) +
                    "\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(count) +
                    ",9\r\nX-Prompt-Prefix: " + parts +
                    "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Token key-one\r\n"
                    "Content-Length: 4\r\n\r\nbody";
                const double sent = to.seconds();
                const auto answer = call(front, request, milliseconds(12'000));
                char took[32];
                std::snprintf(took, sizeof took, "%.3f", to.seconds() - sent);
                to.write("session request " + std::to_string(i) + ": " +
                         (answer ? std::to_string(answer->status()) : std::string("no answer")) +
                         " after " + took + " s");
            }).detach();
            std::this_thread::sleep_for(session_interval);
        }
    });
    std::this_thread::sleep_for(trouble_time);
    stopping = true;
    reader.join();
    session.join();
    std::this_thread::sleep_for(milliseconds(2'600));
    int answered = 0;
    int at_timeout = 0;
    int after_slack = 0;
    int all = 0;
    {
        const std::lock_guard lock(mutex);
        const double limit = std::chrono::duration<double>(route_timeout).count();
        const double late = limit + std::chrono::duration<double>(slack).count();
        for (const read_result& one : reads) {
            const bool is_in_trouble = one.sent >= trouble;
            answered += !is_in_trouble && one.status == 200 ? 1 : 0;
            all += is_in_trouble ? 1 : 0;
            at_timeout += is_in_trouble && (one.took < 0.0 || one.took > limit) ? 1 : 0;
            after_slack += is_in_trouble && (one.took < 0.0 || one.took > late) ? 1 : 0;
        }
    }
    to.write("reads before: " + std::to_string(answered) + " answered 200; reads since: " +
             std::to_string(all) + ", unanswered at timeoutMs: " + std::to_string(at_timeout) +
             ", of these without an answer half a second later: " + std::to_string(after_slack) +
             "; engines crashed: " + std::to_string(engines.crashes()));
    if (answered < 20) {
        to.write("too few reads were answered in calm");
        finish(could_not_run);
    }
    // The rule: more than half of those that are unanswered at timeoutMs; eight or more are asked
    // for here, so that a single slow answer is none.
    const bool is_broken = at_timeout >= 8 && 2 * after_slack > at_timeout;
    to.write(is_broken ? "broken" : "held");
    finish(is_broken ? broken : held);
    std::abort(); // Not reached.
}

} // namespace

int main(int count, char** arguments) {
    try {
        if (count == 6 && std::string(arguments[1]) == "engine") {
            play_engine({arguments[2], static_cast<std::uint16_t>(std::atoi(arguments[3]))},
                        arguments[4], arguments[5]);
        }
        if (count != 2) {
            return could_not_run;
        }
        record to(arguments[1]);
        run(to, arguments[0]);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return could_not_run;
    }
}
