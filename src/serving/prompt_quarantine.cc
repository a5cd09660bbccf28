#include "jujubetide/serving/prompt_quarantine.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace jujubetide {
namespace {

/// Callers choose the ids; a longer one is replaced by its hash.
constexpr std::size_t max_id_length = 64;
/// How long peers are told about a change. Several heartbeats, as datagrams can get lost.
constexpr micros report_time{3'000'000};
/// Parts reported at once, to bound a heartbeat's size.
constexpr std::size_t max_reported = 32;
/// Crashes remembered for one part.
constexpr std::size_t max_crashes = 32;
/// Answers older than this are dropped first when there are too many parts.
constexpr micros recent_answer{30'000'000};
/// Nodes spread their first trials over this fraction of the quarantine time.
constexpr double trial_spread = 0.5;

prompt_part_id id_of(const prompt_part& part) {
    return part.id.size() <= max_id_length
               ? prompt_part_id(part.id)
               : prompt_part_id(absl::StrCat("#", absl::Hex(stable_hash(part.id))));
}

std::set<prompt_part_id> shared_ids(std::span<const prompt_part> parts) {
    std::set<prompt_part_id> ids;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        ids.insert(id_of(parts[i]));
    }
    return ids;
}

} // namespace

micros prompt_quarantine::quarantine_time(std::size_t crashes) {
    constexpr std::array<micros, 3> times{std::chrono::seconds(30), std::chrono::minutes(2),
                                          std::chrono::minutes(10)};
    const std::size_t beyond = crashes - std::min(crashes, min_crashes);
    return times.at(std::min(beyond, times.size() - 1));
}

std::size_t prompt_quarantine::count_separate(const record& of) {
    std::vector<time_point> times;
    for (const auto& [run, at] : of.crashes) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    time_point last{};
    for (const time_point at : times) {
        if (count == 0 || at - last >= separate_crash_gap) {
            ++count;
            last = at;
        }
    }
    return count;
}

bool prompt_quarantine::is_guilty(const record& of) {
    const std::size_t needed = of.answered_at ? min_crashes_after_answer : min_crashes;
    return of.crashes.size() >= min_crashed_runs || count_separate(of) >= needed;
}

std::size_t prompt_quarantine::separate_crashes(const prompt_part_id& part) const {
    const auto found = records_.find(part);
    return found == records_.end() ? 0 : count_separate(found->second);
}

prompt_quarantine::record& prompt_quarantine::insert(const prompt_part_id& part, time_point now) {
    if (records_.size() >= max_parts && !records_.contains(part)) {
        absl::erase_if(records_, [now](const auto& item) {
            return item.second.crashes.empty() &&
                   now - item.second.answered_at.value_or(time_point{}) > recent_answer;
        });
        if (records_.size() >= max_parts) {
            absl::erase_if(records_, [](const auto& item) { return item.second.crashes.empty(); });
        }
    }
    return records_[part];
}

void prompt_quarantine::update_quarantine(const prompt_part_id& part) {
    record& of = records_[part];
    if (!is_guilty(of)) {
        quarantined_.erase(part);
        return;
    }
    if (quarantined_.insert(part).second) {
        of.trial_offset = random_.uniform();
    }
    time_point last{};
    for (const auto& [run, at] : of.crashes) {
        last = std::max(last, at);
    }
    const std::chrono::duration<double, std::micro> time = quarantine_time(count_separate(of));
    const micros delay =
        std::chrono::duration_cast<micros>(time * (1.0 + trial_spread * of.trial_offset));
    of.next_trial = std::max(of.next_trial, last + delay);
}

void prompt_quarantine::on_answered(std::span<const prompt_part> parts, time_point now) {
    for (const prompt_part_id& part : shared_ids(parts)) {
        record& of = insert(part, now);
        of.answered_at = now;
        if (!of.crashes.empty()) {
            of.crashes.clear();
            of.reported_until = now + report_time;
            quarantined_.erase(part);
        }
    }
}

bool prompt_quarantine::on_crash(const server_run_id& run, std::span<const prompt_part> parts,
                                 time_point now) {
    bool concerns_unanswered = false;
    for (const prompt_part_id& part : shared_ids(parts)) {
        record& of = insert(part, now);
        if (of.crashes.size() >= max_crashes || !of.crashes.emplace(run, now).second) {
            continue;
        }
        of.reported_until = now + report_time;
        concerns_unanswered = concerns_unanswered || !of.answered_at;
        update_quarantine(part);
    }
    return concerns_unanswered;
}

std::vector<prompt_part_id>
prompt_quarantine::blocking_parts(std::span<const prompt_part> parts) const {
    if (quarantined_.empty()) {
        return {};
    }
    std::vector<prompt_part_id> blocking;
    const std::set<prompt_part_id> own = shared_ids(parts);
    for (const prompt_part_id& part : own) {
        if (!quarantined_.contains(part)) {
            continue;
        }
        const record& of = records_.at(part);
        // Another part that was there at each of the crashes may be the cause instead.
        const bool has_other_cause =
            std::any_of(quarantined_.begin(), quarantined_.end(), [&](const prompt_part_id& other) {
                const record& of_other = records_.at(other);
                return !own.contains(other) &&
                       std::all_of(of.crashes.begin(), of.crashes.end(), [&](const auto& crash) {
                           return of_other.crashes.contains(crash.first);
                       });
            });
        if (!has_other_cause) {
            blocking.push_back(part);
        }
    }
    return blocking;
}

bool prompt_quarantine::is_blocked(std::span<const prompt_part> parts) const {
    return !blocking_parts(parts).empty();
}

std::optional<micros> prompt_quarantine::admit(std::span<const prompt_part> parts, time_point now) {
    const std::vector<prompt_part_id> blocking = blocking_parts(parts);
    micros wait{0};
    for (const prompt_part_id& part : blocking) {
        wait = std::max(wait, records_.at(part).next_trial - now);
    }
    if (wait > micros{0}) {
        return wait;
    }
    for (const prompt_part_id& part : blocking) {
        records_.at(part).next_trial = now + trial_interval;
    }
    return std::nullopt;
}

std::vector<prompt_suspicion> prompt_quarantine::suspicions(time_point now) const {
    std::vector<prompt_suspicion> list;
    const auto add = [&](const prompt_part_id& part, const record& of) {
        prompt_suspicion made;
        made.part = part;
        if (of.answered_at) {
            made.since_answer = now - *of.answered_at;
        }
        for (const auto& [run, at] : of.crashes) {
            made.crashes.push_back({run, now - at});
        }
        list.push_back(std::move(made));
    };
    for (const prompt_part_id& part : quarantined_) {
        if (list.size() < max_reported) {
            add(part, records_.at(part));
        }
    }
    for (const auto& [part, of] : records_) {
        if (list.size() >= max_reported) {
            break;
        }
        if (now < of.reported_until && !quarantined_.contains(part)) {
            add(part, of);
        }
    }
    return list;
}

void prompt_quarantine::on_peer_suspicions(std::span<const prompt_suspicion> suspicions,
                                           time_point now) {
    for (const prompt_suspicion& reported : suspicions) {
        record& of = insert(reported.part, now);
        if (reported.since_answer) {
            const time_point answered_at = now - *reported.since_answer;
            of.answered_at = std::max(of.answered_at.value_or(answered_at), answered_at);
        }
        for (const prompt_suspicion::crash& crash : reported.crashes) {
            const time_point at = now - crash.age;
            if (of.answered_at && at <= *of.answered_at) {
                of.reported_until = now + report_time; // The peer does not know of the answer.
            } else if (of.crashes.size() < max_crashes || of.crashes.contains(crash.run)) {
                time_point& known = of.crashes.try_emplace(crash.run, at).first->second;
                known = std::min(known, at);
            }
        }
        std::erase_if(of.crashes, [&of](const auto& crash) {
            return of.answered_at && crash.second <= *of.answered_at;
        });
        update_quarantine(reported.part);
    }
}

void prompt_quarantine::expire(time_point now) {
    for (auto& [part, of] : records_) {
        std::erase_if(of.crashes,
                      [now](const auto& crash) { return now - crash.second > evidence_lifetime; });
        if (!is_guilty(of)) {
            quarantined_.erase(part);
        }
    }
    absl::erase_if(records_, [now](const auto& item) {
        return item.second.crashes.empty() &&
               now - item.second.answered_at.value_or(time_point{}) > evidence_lifetime;
    });
}

} // namespace jujubetide
