// A caller whose prompts have as many parts as the limit of a request's head allows. The platform
// ends a process that exceeds its memory and starts it again.
#include "memory_guard.h"
#include "servers.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int node_count = 2;
/// Of the limit of 16,384 bytes; the rest is for the other headers and what separates them.
constexpr std::size_t parts_header_bytes = 15'000;
constexpr int requests_per_second = 24;
constexpr milliseconds run_time{108'000};

/// The parts of a prompt, one token each; the first part is new, so that all prefixes are.
/// Without trouble, there are two parts in as many bytes.
std::string prompt_parts(int number, bool many, int& count) {
    char first[32];
    std::snprintf(first, sizeof first, "%08x", static_cast<unsigned>(number) * 2'654'435'761U);
    std::string parts = first;
    count = 2;
    if (!many) {
        return parts + std::string(parts_header_bytes - 16, 'a') + ":1,b:1";
    }
    parts += ":1";
    for (count = 1; parts.size() < parts_header_bytes; ++count) {
        char part[32];
        std::snprintf(part, sizeof part, ",%x:1", count);
        parts += part;
    }
    return parts;
}

struct totals {
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
};

void call_on(const address& front, const std::string& key, int base,
             const std::atomic<bool>& stopping, totals& counted) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; !stopping; ++i) {
        std::this_thread::sleep_until(start + milliseconds(1'000) * i / requests_per_second);
        int count = 0;
        const std::string parts = prompt_parts(base + i, has_trouble(), count);
        const std::string request =
            "POST /lohu930/ HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: attempt-" +
            std::to_string(base + i) + "\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(count) +
            ",9\r\nX-Prompt-Prefix: " + parts +
            "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Token " + key +
            "\r\nContent-Length: 4\r\n\r\nbody";
        ++counted.sent;
        const auto answer = call(front, request, milliseconds(2'000));
        counted.whole += answer && answer->status() == 200 ? 1 : 0;
        counted.refused += answer && answer->status() != 200 ? 1 : 0;
        if (!answer) {
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
}

[[noreturn]] void run(record& to) {
    place where;
    row_store store(where.store());
    engine first(where.at(101, 8422), "i-7f3a91c2", to);
    engine second(where.at(102, 8422), "i-0b52dd17", to);
    writers written(store, {}, {&first, &second});
    node_list nodes;
    const char* const zones[] = {"bratislava-port", "komarno"};
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(where, i + 1, zones[i], false, to));
        nodes.back()->start();
    }
    if (!wait_until(
            [&] {
                return std::all_of(nodes.begin(), nodes.end(),
                                   [](const auto& one) { return one->is_ready(); });
            },
            milliseconds(10'000))) {
        to.write("the nodes are not ready");
        end_run(where, nodes, could_not_run);
    }
    std::this_thread::sleep_for(milliseconds(1'500));
    std::vector<std::unique_ptr<memory_guard>> guards;
    for (const auto& one : nodes) {
        guards.push_back(std::make_unique<memory_guard>(*one, to));
    }
    int parts = 0;
    const std::string example = prompt_parts(0, has_trouble(), parts);
    to.write("each request has " + std::to_string(parts) + " parts in " +
             std::to_string(example.size()) + " bytes; " + std::to_string(requests_per_second) +
             " requests a second go to each node");
    std::atomic<bool> stopping{false};
    totals counted;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        callers.emplace_back([&, i] {
            call_on(nodes[i]->front(), i == 0 ? "key-one" : "key-two",
                    static_cast<int>(i) * 1'000'000, stopping, counted);
        });
    }
    const auto end = std::chrono::steady_clock::now() + run_time;
    while (std::chrono::steady_clock::now() < end &&
           std::any_of(guards.begin(), guards.end(),
                       [](const auto& one) { return one->ends() < 3; })) {
        std::this_thread::sleep_for(milliseconds(2'000));
        to.write("resident: " + std::to_string(nodes[0]->resident_kb() / 1024) + " MB, " +
                 std::to_string(nodes[1]->resident_kb() / 1024) + " MB; sent " +
                 std::to_string(counted.sent) + ", whole " + std::to_string(counted.whole) +
                 ", refused " + std::to_string(counted.refused));
    }
    stopping = true;
    for (std::thread& one : callers) {
        one.join();
    }
    int often = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        to.write(nodes[i]->name() + ": most memory " + std::to_string(guards[i]->most_kb() / 1024) +
                 " MB, ended " + std::to_string(guards[i]->ends()) + " times");
        often += guards[i]->ends() >= 3 ? 1 : 0;
    }
    if (counted.whole == 0) {
        to.write("no request was served");
        end_run(where, nodes, could_not_run);
    }
    // The rule: on two machines or more, processes end by themselves three times.
    to.write(often >= 2 ? "broken" : "held");
    guards.clear();
    end_run(where, nodes, often >= 2 ? broken : held);
}

} // namespace

int main(int count, char** arguments) {
    if (count != 2) {
        return could_not_run;
    }
    try {
        record to(arguments[1]);
        run(to);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return could_not_run;
    }
}
