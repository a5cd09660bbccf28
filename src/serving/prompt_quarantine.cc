#include "jujubetide/serving/prompt_quarantine.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

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
/// Parts dropped for each new one while there are too many: more than one, as evidence may have
/// exceeded the limit.
constexpr int dropped_per_part = 2;
/// First character of a content's id; a caller's id with it is replaced by its hash.
constexpr const char* content_mark = "=";
/// Nodes spread their first trials over this fraction of the quarantine time.
constexpr double trial_spread = 0.5;

prompt_part_id id_of(const prompt_part& part) {
    return part.id.size() <= max_id_length && !part.id.starts_with(content_mark)
               ? prompt_part_id(part.id)
               : prompt_part_id(absl::StrCat("#", absl::Hex(stable_hash(part.id))));
}

prompt_suspicion to_suspicion(const prompt_part_id& part,
                              const std::optional<time_point>& answered_at,
                              const crash_groups::crash_times& crashes, time_point now) {
    prompt_suspicion made;
    made.part = part;
    if (answered_at) {
        made.since_answer = now - *answered_at;
    }
    for (const auto& [run, at] : crashes) {
        made.crashes.push_back({run, now - at});
    }
    return made;
}

/// The time for the number of crashes beyond those that led to a quarantine.
template <std::size_t Size>
micros time_after(const std::array<micros, Size>& times, std::size_t crashes) {
    const std::size_t beyond = crashes - std::min(crashes, prompt_quarantine::min_crashes);
    return times.at(std::min(beyond, Size - 1));
}

} // namespace

crash_suspects::crash_suspects(const std::vector<prompt_part>& parts) {
    add_parts(parts);
}

crash_suspects::crash_suspects(std::span<const prompt_part> parts, std::uint64_t content) {
    add_parts(parts);
    ids_.insert(prompt_part_id(absl::StrCat(content_mark, absl::Hex(content))));
}

void crash_suspects::add_parts(std::span<const prompt_part> parts) {
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        ids_.insert(id_of(parts[i]));
    }
}

bool crash_suspects::is_content(const prompt_part_id& id) {
    return id.str().starts_with(content_mark);
}

micros prompt_quarantine::quarantine_time(std::size_t crashes) {
    static constexpr std::array<micros, 3> times{std::chrono::seconds(30), std::chrono::minutes(2),
                                                 std::chrono::minutes(10)};
    return time_after(times, crashes);
}

micros prompt_quarantine::content_quarantine_time(std::size_t crashes) {
    static constexpr std::array<micros, 3> times{std::chrono::seconds(30), std::chrono::minutes(10),
                                                 std::chrono::hours(1)};
    return time_after(times, crashes);
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

prompt_quarantine::record& prompt_quarantine::insert(const prompt_part_id& part) {
    if (records_.size() >= max_parts && !records_.contains(part)) {
        drop_oldest_without_evidence();
    }
    return records_[part];
}

void prompt_quarantine::drop_oldest_without_evidence() {
    for (int i = 0; i < dropped_per_part && records_.size() >= max_parts; ++i) {
        if (without_evidence_.empty()) {
            return;
        }
        records_.erase(without_evidence_.front());
        without_evidence_.pop_front();
    }
}

void prompt_quarantine::update_place(const prompt_part_id& part, record& of) {
    if (!of.crashes.empty()) {
        if (of.place) {
            without_evidence_.erase(*of.place);
            of.place.reset();
        }
    } else if (of.place) {
        without_evidence_.splice(without_evidence_.end(), without_evidence_, *of.place);
    } else {
        of.place = without_evidence_.insert(without_evidence_.end(), part);
    }
}

void prompt_quarantine::add_to_quarantine(const prompt_part_id& part, record& of) {
    if (of.group == nullptr) {
        quarantined_.insert(part);
        changed_.try_emplace(part, false);
        of.trial_offset = random_.uniform();
    }
    of.group = groups_.move(of.group, of.crashes);
}

void prompt_quarantine::remove_from_quarantine(const prompt_part_id& part, record& of) {
    if (of.group != nullptr) {
        quarantined_.erase(part);
        changed_.try_emplace(part, true);
        groups_.remove(std::exchange(of.group, nullptr));
    }
}

quarantine_changes prompt_quarantine::take_changes() {
    quarantine_changes changes;
    for (const auto& [part, was_quarantined] : std::exchange(changed_, {})) {
        if (was_quarantined != quarantined_.contains(part)) {
            (was_quarantined ? changes.removed : changes.added).push_back(part);
        }
    }
    return changes;
}

void prompt_quarantine::update_quarantine(const prompt_part_id& part, record& of) {
    if (!is_guilty(of)) {
        remove_from_quarantine(part, of);
        return;
    }
    add_to_quarantine(part, of);
    time_point last{};
    for (const auto& [run, at] : of.crashes) {
        last = std::max(last, at);
    }
    const std::size_t crashes = count_separate(of);
    const std::chrono::duration<double, std::micro> time = crash_suspects::is_content(part)
                                                               ? content_quarantine_time(crashes)
                                                               : quarantine_time(crashes);
    const micros delay =
        std::chrono::duration_cast<micros>(time * (1.0 + trial_spread * of.trial_offset));
    of.next_trial = std::max(of.next_trial, last + delay);
}

void prompt_quarantine::on_answered(const crash_suspects& suspects, time_point now) {
    for (const prompt_part_id& part : suspects.ids()) {
        if (crash_suspects::is_content(part) && !records_.contains(part)) {
            continue;
        }
        record& of = insert(part);
        of.answered_at = now;
        if (!of.crashes.empty()) {
            of.crashes.clear();
            of.reported_until = now + report_time;
            remove_from_quarantine(part, of);
        }
        update_place(part, of);
    }
}

bool prompt_quarantine::on_crash(const server_run_id& run, const crash_suspects& suspects,
                                 time_point now) {
    bool concerns_unanswered = false;
    for (const prompt_part_id& part : suspects.ids()) {
        record& of = insert(part);
        if (of.crashes.size() >= max_crashes || !of.crashes.emplace(run, now).second) {
            continue;
        }
        of.reported_until = now + report_time;
        concerns_unanswered = concerns_unanswered || !of.answered_at;
        update_place(part, of);
        update_quarantine(part, of);
    }
    return concerns_unanswered;
}

std::vector<const prompt_part_id*>
prompt_quarantine::blocking_parts(const crash_suspects& suspects) const {
    if (quarantined_.empty()) {
        return {};
    }
    std::vector<std::pair<const prompt_part_id*, const crash_groups::group*>> quarantined;
    crash_groups::member_counts in_call;
    for (const prompt_part_id& part : suspects.ids()) {
        const auto found = records_.find(part);
        if (found != records_.end() && found->second.group != nullptr) {
            quarantined.emplace_back(&part, found->second.group);
            ++in_call[found->second.group];
        }
    }
    // A part that is not in the call and was there at each of the crashes may be the cause instead.
    const crash_groups::group_set guilty = groups_.groups_without_other_suspect(in_call);
    std::vector<const prompt_part_id*> blocking;
    for (const auto& [part, group] : quarantined) {
        if (guilty.contains(group)) {
            blocking.push_back(part);
        }
    }
    return blocking;
}

bool prompt_quarantine::is_blocked(const crash_suspects& suspects) const {
    return !blocking_parts(suspects).empty();
}

bool prompt_quarantine::is_suspected(const crash_suspects& suspects) const {
    return std::any_of(suspects.ids().begin(), suspects.ids().end(),
                       [this](const prompt_part_id& part) { return separate_crashes(part) > 0; });
}

std::optional<micros> prompt_quarantine::admit(const crash_suspects& suspects, time_point now) {
    const std::vector<const prompt_part_id*> blocking = blocking_parts(suspects);
    micros wait{0};
    for (const prompt_part_id* part : blocking) {
        wait = std::max(wait, records_.at(*part).next_trial - now);
    }
    if (wait > micros{0}) {
        return wait;
    }
    for (const prompt_part_id* part : blocking) {
        records_.at(*part).next_trial = now + trial_interval;
    }
    return std::nullopt;
}

std::vector<prompt_suspicion> prompt_quarantine::suspicions(time_point now) const {
    std::vector<prompt_suspicion> list;
    for (const prompt_part_id& part : quarantined_) {
        if (list.size() < max_reported) {
            const record& of = records_.at(part);
            list.push_back(to_suspicion(part, of.answered_at, of.crashes, now));
        }
    }
    for (const auto& [part, of] : records_) {
        if (list.size() >= max_reported) {
            break;
        }
        if (now < of.reported_until && !quarantined_.contains(part) &&
            !crash_suspects::is_content(part)) {
            list.push_back(to_suspicion(part, of.answered_at, of.crashes, now));
        }
    }
    add_recent_contents(list, now);
    return list;
}

void prompt_quarantine::add_recent_contents(std::vector<prompt_suspicion>& list,
                                            time_point now) const {
    // The loss of one server makes as many of these as calls waited there.
    std::vector<prompt_suspicion> contents;
    for (const auto& [part, of] : records_) {
        if (now < of.reported_until && !quarantined_.contains(part) &&
            crash_suspects::is_content(part)) {
            contents.push_back(to_suspicion(part, of.answered_at, of.crashes, now));
        }
    }
    std::sort(contents.begin(), contents.end(), [](const auto& one, const auto& other) {
        return std::pair(other.crashes.size(), one.part) <
               std::pair(one.crashes.size(), other.part);
    });
    contents.resize(std::min(contents.size(), max_reported));
    std::move(contents.begin(), contents.end(), std::back_inserter(list));
}

void prompt_quarantine::on_peer_suspicions(std::span<const prompt_suspicion> suspicions,
                                           time_point now) {
    for (const prompt_suspicion& reported : suspicions) {
        record& of = insert(reported.part);
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
        update_place(reported.part, of);
        update_quarantine(reported.part, of);
    }
}

void prompt_quarantine::expire(time_point now) {
    for (auto& [part, of] : records_) {
        if (!of.crashes.empty()) {
            expire_crashes(part, of, now);
        }
    }
    std::erase_if(without_evidence_, [this, now](const prompt_part_id& part) {
        const auto found = records_.find(part);
        if (now - found->second.answered_at.value_or(time_point{}) <= evidence_lifetime) {
            return false;
        }
        records_.erase(found);
        return true;
    });
}

void prompt_quarantine::expire_crashes(const prompt_part_id& part, record& of, time_point now) {
    const bool is_blocked_content = crash_suspects::is_content(part) && of.group != nullptr;
    const micros lifetime = is_blocked_content ? content_evidence_lifetime : evidence_lifetime;
    std::erase_if(of.crashes,
                  [now, lifetime](const auto& crash) { return now - crash.second > lifetime; });
    if (of.group != nullptr && is_guilty(of)) {
        of.group = groups_.move(of.group, of.crashes);
    } else {
        remove_from_quarantine(part, of);
    }
    update_place(part, of);
}

} // namespace jujubetide
