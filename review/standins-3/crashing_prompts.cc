// Requests of one session, whose long prompts hold a part that crashes each engine that begins to
// answer them: do other callers still get answers?
#include "engine_pool.h"
#include "reads.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

/// Of the limit of 16,384 bytes; the rest is for the other headers and what separates them.
constexpr std::size_t parts_header_bytes = 15'000;
constexpr milliseconds session_interval{250};
constexpr milliseconds calm_time{4'000};
constexpr milliseconds trouble_time{30'000};

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
    engine_pool& engines = *new engine_pool(where, store, program, {}, to);
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
    read_watch& reads = *new read_watch(front, "key-two", to);
    std::this_thread::sleep_for(calm_time);
    const double trouble = to.seconds();
    to.write("the session's requests begin, with heads of " +
             std::to_string(session_parts(0).size()) + " bytes of parts");
    std::atomic<bool>& stopping = *new std::atomic<bool>(false);
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
    session.join();
    to.write("engines crashed: " + std::to_string(engines.crashes()));
    finish(reads.judge(trouble));
    std::abort(); // Not reached.
}

} // namespace

int main(int count, char** arguments) {
    try {
        play_engine_if_asked(count, arguments);
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
