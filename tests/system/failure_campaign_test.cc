// Random failures of every part, alone and in pairs, under load by all kinds of callers. What must
// hold is counted at the end over all that the stand-ins executed.
#include "standins/standin_answer.h"
#include "support/eventually.h"
#include "system_fixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using namespace jujubetide;

namespace {

constexpr unsigned seed = 20261205;
constexpr std::uint32_t pieces = 30;
constexpr std::size_t entry_count = 3;
constexpr auto campaign_time = std::chrono::seconds(25);

/// One call of a caller and what it was told.
struct told {
    /// The prompt, or the booking of a call with a key.
    std::string name;
    /// `whole`, `not_run`, `unknown`, or `broken` where the connection to the entry broke.
    std::string outcome;
    std::string text;
    bool good_text = true;
    /// Under which the call is executed: the prompt, or the id that the entry gave the request.
    std::string executed_as;
};

/// The entries' addresses, which change when an entry is started again.
class entry_addresses {
public:
    void set(std::size_t index, const endpoint& address) {
        const std::lock_guard lock(mutex_);
        addresses_[index] = address;
    }
    [[nodiscard]] endpoint get(std::size_t index) const {
        const std::lock_guard lock(mutex_);
        return addresses_[index % entry_count];
    }

private:
    mutable std::mutex mutex_;
    std::array<endpoint, entry_count> addresses_;
};

std::string outcome_of(const caller_answer& answer) {
    if (answer.whole) {
        return "whole";
    }
    return answer.outcome.empty() ? "broken" : answer.outcome;
}

/// Callers of all kinds, each sending one call after the other until stopped.
class mixed_callers {
public:
    explicit mixed_callers(const entry_addresses& entries) : entries_(entries) {
        constexpr std::size_t of_each_kind = 4;
        for (std::size_t i = 0; i < of_each_kind; ++i) {
            start(i, [this](std::size_t entry, const std::string& name) { stream(entry, name); });
            start(i, [this](std::size_t entry, const std::string& name) { whole(entry, name); });
            start(i, [this](std::size_t entry, const std::string& name) { book(entry, name); });
        }
    }
    std::vector<told> stop() {
        stopping_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        return std::move(told_);
    }
    [[nodiscard]] int asked() const { return asked_; }

private:
    using one_call = std::function<void(std::size_t entry, const std::string& name)>;

    void start(std::size_t number, const one_call& call) {
        threads_.emplace_back([this, number, call, kind = threads_.size()] {
            for (std::size_t i = 0; !stopping_; ++i) {
                call(number + i, absl::StrCat("call-", kind, "-", i));
                std::this_thread::sleep_for(millis{20});
            }
        });
    }

    [[nodiscard]] standin_caller caller(std::size_t entry) const {
        standin_caller made(entries_.get(entry), system_fixture::key);
        made.set_header("X-Deadline-Ms", "6000");
        made.set_timeout(millis{10'000});
        return made;
    }

    void stream(std::size_t entry, const std::string& name) {
        ++asked_;
        const caller_answer answer = caller(entry).stream("chat", name, pieces);
        note_answer(name, answer);
    }
    void whole(std::size_t entry, const std::string& name) {
        ++asked_;
        note_answer(name, caller(entry).whole("chat", name, pieces));
    }
    void note_answer(const std::string& name, const caller_answer& answer) {
        const std::string right = standin_answer(name, pieces);
        const bool good = answer.whole ? answer.text == right : right.starts_with(answer.text);
        note({name, outcome_of(answer), answer.text, good, name});
    }

    /// The same key at two entries at once, then once more at the third.
    void book(std::size_t entry, const std::string& name) {
        auto other = std::async(std::launch::async, [&] { book_at(entry + 1, name); });
        book_at(entry, name);
        other.wait();
        book_at(entry + 2, name);
    }
    void book_at(std::size_t entry, const std::string& name) {
        ++asked_;
        standin_caller one = caller(entry);
        one.set_header("Idempotency-Key", name);
        const auto answer =
            one.call("POST", "/s/berth/book", nlohmann::json{{"booking", name}}.dump());
        if (!answer.ok()) {
            note({name, "broken", "", true, ""});
            return;
        }
        const auto request = answer->headers.find("X-Request-Id");
        const std::string id = request == answer->headers.end() ? "" : request->second;
        if (answer->status == 200) {
            note({name, "whole", answer->body, true, id});
            return;
        }
        const auto problem = nlohmann::json::parse(answer->body, nullptr, false);
        note({name, problem.is_object() ? problem.value("outcome", "none") : "none", "", true, id});
    }

    void note(told one) {
        const std::lock_guard lock(mutex_);
        told_.push_back(std::move(one));
    }

    const entry_addresses& entries_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> asked_{0};
    std::mutex mutex_;
    std::vector<told> told_;
    std::vector<std::thread> threads_;
};

/// Brings failures about, one or two at a time, each ended before the next.
class failures {
public:
    failures(system_fixture& system, entry_addresses& entries)
        : system_(system), entries_(entries) {}

    void step() {
        const std::size_t count = 1 + draw(2);
        std::vector<std::function<void()>> ends;
        for (std::size_t i = 0; i < count; ++i) {
            ends.push_back(begin_one());
        }
        std::this_thread::sleep_for(millis{200 + 100 * static_cast<int>(draw(8))});
        for (const auto& end : ends) {
            end();
        }
        std::this_thread::sleep_for(millis{300});
    }
    [[nodiscard]] const std::map<std::string, int>& done() const { return done_; }

private:
    std::size_t draw(std::size_t below) { return random_() % below; }

    std::function<void()> begin_one() {
        switch (draw(8)) {
        case 0:
            return kill("engine", system_.engines, &system_fixture::start_engine);
        case 1:
            return kill("plain service", system_.plain, &system_fixture::start_plain);
        case 2:
            return kill("entry", system_.entries, &system_fixture::start_entry);
        case 3:
            return freeze("engine", system_.engines);
        case 4:
            return freeze("plain service", system_.plain);
        case 5:
            return freeze("entry", system_.entries);
        case 6:
            return cut();
        default:
            return platform_outage();
        }
    }

    template <class Processes>
    std::function<void()> kill(const std::string& what, Processes& processes,
                               void (system_fixture::*start)(std::size_t)) {
        ++done_["kill " + what];
        const std::size_t index = draw(processes.size());
        processes[index]->signal(SIGKILL);
        return [this, start, index, is_entry = what == "entry"] {
            (system_.*start)(index);
            if (is_entry) {
                CHECK(system_.wait_ready(index));
                entries_.set(index, system_.entry(index));
            }
        };
    }
    template <class Processes>
    std::function<void()> freeze(const std::string& what, Processes& processes) {
        ++done_["freeze " + what];
        const child_process& frozen = *processes[draw(processes.size())];
        frozen.signal(SIGSTOP);
        // A process that is killed by the other failure of the pair is not there to be thawed.
        return [&processes, &frozen] {
            for (const auto& one : processes) {
                if (one.get() == &frozen) {
                    frozen.signal(SIGCONT);
                }
            }
        };
    }
    /// Connections of an engine and of a plain service break in the middle.
    std::function<void()> cut() {
        ++done_["cut"];
        post(*system_.engines[draw(system_.engines.size())],
             R"({"tear_piece": {"calls": 3, "at_piece": 4}, "end_early": 1})");
        post(*system_.plain[draw(system_.plain.size())],
             R"({"drop_reply": 2, "close_before_run": 1})");
        return [] {};
    }
    std::function<void()> platform_outage() {
        ++done_["platform outage"];
        post(*system_.platform, R"({"table_down": true, "drop_commit_replies": 2})");
        return [this] { post(*system_.platform, R"({"table_down": false})"); };
    }
    /// To a stand-in that may be dead or frozen.
    static void post(const child_process& standin, const std::string& faults) {
        const http_timeouts brief{millis{300}, millis{300}, millis{300}};
        (void)http_call(parse_endpoint(standin.listening()).value(), "POST", "/faults", faults,
                        brief);
    }

    system_fixture& system_;
    entry_addresses& entries_;
    std::mt19937 random_{seed};
    std::map<std::string, int> done_;
};

struct campaign_counts {
    std::map<std::string, int> outcomes;
    int run_behind_not_run = 0;
    int double_executions = 0;
    int whole_without_execution = 0;
    int different_answers = 0;
    int wrong_text = 0;
};

int runs_of(const std::map<std::string, int>& executed, const std::string& name) {
    const auto found = executed.find(name);
    return found == executed.end() ? 0 : found->second;
}

campaign_counts count(const std::vector<told>& calls, const std::map<std::string, int>& executed) {
    campaign_counts counts;
    std::map<std::string, std::vector<const told*>> by_name;
    for (const told& one : calls) {
        ++counts.outcomes[one.outcome];
        counts.wrong_text += one.good_text ? 0 : 1;
        by_name[one.name].push_back(&one);
    }
    for (const auto& [name, answers] : by_name) {
        const int runs = runs_of(executed, name);
        const bool keyed = answers.size() > 1;
        std::string text;
        for (const told* one : answers) {
            if (one->outcome == "whole") {
                counts.whole_without_execution += runs == 0 ? 1 : 0;
                counts.different_answers += !text.empty() && text != one->text ? 1 : 0;
                text = one->text;
            }
            if (one->outcome == "not_run") {
                counts.run_behind_not_run += runs_of(executed, one->executed_as);
            }
        }
        counts.double_executions += keyed && runs > 1 ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST_CASE("a campaign of kills, freezes, cuts and outages keeps the promises to all callers") {
    system_fixture system(3, entry_count);
    for (const auto& engine : system.engines) {
        system_fixture::set_faults(*engine, R"({"between_pieces_ms": 10})");
    }
    entry_addresses entries;
    for (std::size_t i = 0; i < entry_count; ++i) {
        entries.set(i, system.entry(i));
    }
    mixed_callers callers(entries);
    failures faults(system, entries);
    const auto end = std::chrono::steady_clock::now() + campaign_time;
    while (std::chrono::steady_clock::now() < end) {
        faults.step();
    }
    const std::vector<told> calls = callers.stop();
    const campaign_counts counts = count(calls, system.executions());

    std::cout << "campaign, seed " << seed << ": " << calls.size() << " calls";
    for (const auto& [outcome, number] : counts.outcomes) {
        std::cout << ", " << number << " " << outcome;
    }
    std::cout << "; failures:";
    for (const auto& [what, number] : faults.done()) {
        std::cout << " " << number << " " << what << ",";
    }
    std::cout << " behind not_run " << counts.run_behind_not_run << ", double "
              << counts.double_executions << ", wrong text " << counts.wrong_text << "\n";
    CHECK(counts.run_behind_not_run == 0);
    CHECK(counts.double_executions == 0);
    CHECK(counts.whole_without_execution == 0);
    CHECK(counts.different_answers == 0);
    CHECK(counts.wrong_text == 0);
    // Every request has one outcome, and it is one of those that callers know.
    CHECK(static_cast<int>(calls.size()) == callers.asked());
    for (const auto& [outcome, number] : counts.outcomes) {
        CHECK((outcome == "whole" || outcome == "not_run" || outcome == "unknown" ||
               outcome == "broken"));
    }
    CHECK(counts.outcomes.at("whole") > 0);
    // When all has healed, all is served.
    for (std::size_t i = 0; i < entry_count; ++i) {
        CHECK(eventually([&] { return system.caller(i).whole("chat", "healed", 4).whole; }));
    }
}
