// Reads by other callers, one each on a new connection, and the rule for those that wait too long.
#pragma once

#include "nodes.h"
#include "servers.h"

namespace standin {

/// Sends ten reads a second until it is judged.
class read_watch {
public:
    read_watch(const address& front, std::string key, record& to)
        : front_(front), key_(std::move(key)), record_(to), thread_([this] {
              for (int i = 0; !stopping_; ++i) {
                  std::thread([this, i] { read(i); }).detach();
                  std::this_thread::sleep_for(interval);
              }
          }) {}
    read_watch(const read_watch&) = delete;
    read_watch& operator=(const read_watch&) = delete;

    /// CONFIG: "Of the requests that are still unanswered at their route's `timeoutMs`, more than
    /// half have no answer half a second later", of those sent since `trouble`. Eight or more are
    /// asked for, so that a single slow answer is none.
    outcome judge(double trouble) {
        stopping_ = true;
        thread_.join();
        std::this_thread::sleep_for(longest_wait + std::chrono::milliseconds(100));
        const std::lock_guard lock(mutex_);
        int answered = 0;
        int at_timeout = 0;
        int after_slack = 0;
        int all = 0;
        for (const result& one : results_) {
            const bool is_in_trouble = one.sent >= trouble;
            const bool has_answer = one.took >= 0.0;
            answered += !is_in_trouble && one.status == 200 ? 1 : 0;
            all += is_in_trouble ? 1 : 0;
            at_timeout += is_in_trouble && (!has_answer || one.took > route_timeout) ? 1 : 0;
            after_slack +=
                is_in_trouble && (!has_answer || one.took > route_timeout + slack) ? 1 : 0;
        }
        record_.write(
            "reads before: " + std::to_string(answered) + " answered 200; reads since: " +
            std::to_string(all) + ", unanswered at timeoutMs: " + std::to_string(at_timeout) +
            ", of these without an answer half a second later: " + std::to_string(after_slack));
        if (answered < 20) {
            record_.write("too few reads were answered in calm");
            return could_not_run;
        }
        const bool is_broken = at_timeout >= 8 && 2 * after_slack > at_timeout;
        record_.write(is_broken ? "broken" : "held");
        return is_broken ? broken : held;
    }

private:
    static constexpr std::chrono::milliseconds interval{100};
    static constexpr std::chrono::milliseconds longest_wait{2'500};
    /// The route's `timeoutMs`, and the time after it that the rule gives, in seconds.
    static constexpr double route_timeout = 1.2;
    static constexpr double slack = 0.5;
    struct result {
        double sent = 0.0;
        /// Seconds until the answer; negative if there was none.
        double took = -1.0;
        int status = 0;
    };

    void read(int number) {
        result made;
        made.sent = record_.seconds();
        const auto answer =
            call(front_, caller_request("GET", "/hugo494/", "read-" + std::to_string(number), key_),
                 longest_wait);
        if (answer) {
            made.took = record_.seconds() - made.sent;
            made.status = answer->status();
        }
        const std::lock_guard lock(mutex_);
        results_.push_back(made);
    }

    address front_;
    std::string key_;
    record& record_;
    std::mutex mutex_;
    std::vector<result> results_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace standin
