// Engines crash while many requests with long prompts wait there: do other callers still get
// answers?
#include "engine_pool.h"
#include "reads.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t engine_count = 12;
/// Crashed engines: a share of 0.167, where the site file has one of 0.2 for 3.4 s.
constexpr std::size_t crashed_engines = 2;
constexpr int long_requests = 180;
constexpr milliseconds request_interval{5};
constexpr milliseconds until_crash{950};
/// Of the limit of 16,384 bytes; the rest is for the other headers and what separates them.
constexpr std::size_t parts_header_bytes = 15'000;
constexpr milliseconds calm_time{4'000};
constexpr milliseconds trouble_time{15'000};

/// A prompt whose parts no other request has.
std::string own_parts(int number) {
    constexpr unsigned first = 0x100000;
    constexpr unsigned parts_for_one = 4'096;
    std::string parts;
    for (unsigned part = 0; parts.size() < parts_header_bytes; ++part) {
        char text[32];
        std::snprintf(text, sizeof text, "%s%x:1", part == 0 ? "" : ",",
                      first + static_cast<unsigned>(number) * parts_for_one + part);
        parts += text;
    }
    return parts;
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
    engine_pool::options how;
    how.count = engine_count;
    how.first_event = milliseconds(1'000);
    how.restart = milliseconds(3'300);
    engine_pool& engines = *new engine_pool(where, store, program, how, to);
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
    struct answers {
        std::atomic<int> whole{0};
        std::atomic<int> refused{0};
        std::atomic<int> other{0};
    };
    answers& seen = *new answers;
    const auto begin = std::chrono::steady_clock::now();
    std::thread([&] {
        for (int i = 0; i < long_requests; ++i) {
            std::thread([&, i] {
                const std::string parts = own_parts(i);
                const auto count = std::count(parts.begin(), parts.end(), ',') + 1;
                if (i == 0) {
                    to.write("the long prompts begin, with " + std::to_string(count) +
                             " parts in " + std::to_string(parts.size()) + " bytes");
                }
                const auto answer =
                    call(front,
                         "POST /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: long-" +
                             std::to_string(i) + "\r\nX-Model: m\r\nX-Token-Usage: " +
                             std::to_string(count) + ",9\r\nX-Prompt-Prefix: " + parts +
                             "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Token key-one\r\n"
                             "Content-Length: 4\r\n\r\nbody",
                         milliseconds(12'000));
                const int status = answer ? answer->status() : 0;
                ++(status == 200                    ? seen.whole
                   : status == 429 || status == 503 ? seen.refused
                                                    : seen.other);
            }).detach();
            std::this_thread::sleep_for(request_interval);
        }
    }).detach();
    std::this_thread::sleep_until(begin + until_crash);
    if (has_trouble()) {
        engines.crash(crashed_engines);
    }
    std::this_thread::sleep_for(trouble_time);
    to.write("long prompts: " + std::to_string(seen.whole) + " answered 200, " +
             std::to_string(seen.refused) + " refused, " + std::to_string(seen.other) +
             " otherwise; engines crashed: " + std::to_string(engines.crashes()));
    std::istringstream log(nodes.front()->log());
    for (std::string line; std::getline(log, line);) {
        if (line.find("\"server_crashed\"") != std::string::npos) {
            to.write("the node's log: " + line); // Tells how many requests waited there.
        }
    }
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
