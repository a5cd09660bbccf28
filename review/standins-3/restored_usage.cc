// Usage reports around a drill of the store in which all processes are killed: no window may be
// reported with two different counts.
#include "nodes.h"
#include "servers.h"

using namespace standin;
using std::chrono::milliseconds;

namespace {

constexpr int node_count = 3;
/// How old the copy is from which the store comes back, at least.
constexpr milliseconds copy_age{3'000};
constexpr milliseconds away_time{1'000};
constexpr milliseconds restart_delay{2'000};

[[noreturn]] void run(record& to, const std::string& trouble) {
    place where;
    row_store store(where.store());
    duty_platform cloud(where.cloud(), to);
    plain_server first(where.at(101, 8422), "i-7f3a91c2", milliseconds(30), to);
    plain_server second(where.at(102, 8422), "i-0b52dd17", milliseconds(30), to);
    writers written(store, {&first, &second});
    node_list nodes;
    const char* const zones[] = {"bratislava-port", "komarno", "sturovo"};
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(where, i + 1, zones[i], true, to));
        nodes.back()->start();
    }
    std::atomic<bool> stopping{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::thread copies([&] {
        while (!stopping) {
            store.keep_copy();
            std::this_thread::sleep_for(milliseconds(100));
        }
    });
    std::thread callers([&] {
        while (!stopping) {
            const int number = ++sent;
            const auto answer =
                call(nodes[static_cast<std::size_t>(number) % nodes.size()]->front(),
                     caller_request("GET", "/hugo494/se1/", "attempt-" + std::to_string(number),
                                    number % 3 == 0 ? "key-two" : "key-one"),
                     milliseconds(2'500));
            served += answer && answer->status() == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(40));
        }
    });
    const auto finish = [&](int result) {
        stopping = true;
        callers.join();
        copies.join();
        to.write("requests sent " + std::to_string(sent) + ", served " + std::to_string(served));
        end_run(where, nodes, result);
    };
    const auto reported = [&] { return cloud.reports().size(); };
    // Three whole windows in calm, then the one that has just been reported.
    if (!wait_until([&] { return reported() >= 3; }, milliseconds(45'000))) {
        to.write("no usage reports in calm");
        finish(could_not_run);
    }
    const std::size_t before = reported();
    if (!wait_until([&] { return reported() > before; }, milliseconds(8'000))) {
        finish(could_not_run);
    }
    std::this_thread::sleep_for(milliseconds(300));
    const std::int64_t last = cloud.reports().back().window;
    to.write("window " + std::to_string(last) + " was reported last");
    const bool kills = trouble != "0" && trouble != "drill";
    const bool drills = trouble != "0" && trouble != "kill";
    if (kills) {
        to.write("all processes are killed");
        for (const auto& one : nodes) {
            one->kill();
        }
    }
    if (drills) {
        to.write("the store is away");
        written.set_away(true);
        store.set_away(true);
    }
    std::this_thread::sleep_for(away_time);
    if (drills) {
        const double age = store.restore(copy_age);
        store.set_away(false);
        written.write_config();
        written.set_away(false);
        written.write_registrations();
        std::string keys;
        for (const std::string& key : store.keys("jujubetide-usage")) {
            keys += " " + key;
        }
        to.write("the store is back from a copy " + std::to_string(age) +
                 " s old, its rows of usage:" + keys);
    }
    std::this_thread::sleep_for(restart_delay - away_time);
    if (kills) {
        for (const auto& one : nodes) {
            one->start();
        }
    }
    std::this_thread::sleep_for(milliseconds(25'000));
    const std::vector<std::string> breaches = cloud.breaches();
    if (reported() <= before + 1 || served == 0) {
        to.write("no reports after the trouble");
        finish(could_not_run);
    }
    to.write(breaches.empty() ? "held" : "broken: " + breaches.front());
    finish(breaches.empty() ? held : broken);
    std::abort(); // Not reached.
}

} // namespace

int main(int count, char** arguments) {
    if (count != 2) {
        return could_not_run;
    }
    try {
        record to(arguments[1]);
        const char* trouble = std::getenv("TROUBLE");
        run(to, trouble == nullptr ? "1" : trouble);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return could_not_run;
    }
}
