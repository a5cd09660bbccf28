#pragma once

#include "jujubetide/base/ids.h"
#include "jujubetide/base/random_source.h"
#include "jujubetide/base/units.h"
#include "jujubetide/serving/crash_groups.h"
#include "jujubetide/serving/prefix_cache_tracker.h"
#include "jujubetide/serving/server_run_id.h"

#include <absl/container/flat_hash_map.h>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jujubetide {

/// Identifies a prompt part over all calls.
using prompt_part_id = strong_id<struct prompt_part_tag>;

/// What may be the cause when a server crashes under a call: each part of its prompt but the last,
/// which no other call has, and the content of the call as a whole, which its caller may send
/// again.
class crash_suspects {
public:
    crash_suspects() = default;
    // Not explicit: most callers have only a prompt.
    crash_suspects(const std::vector<prompt_part>& parts);
    /// `content` is the same for calls with the same content.
    crash_suspects(std::span<const prompt_part> parts, std::uint64_t content);

    [[nodiscard]] const std::set<prompt_part_id>& ids() const { return ids_; }
    [[nodiscard]] bool contains(const prompt_part_id& id) const { return ids_.contains(id); }
    /// Whether the id stands for the content of a call.
    static bool is_content(const prompt_part_id& id);

private:
    void add_parts(std::span<const prompt_part> parts);

    std::set<prompt_part_id> ids_;
};

/// What a node knows of a prompt part that was in calls to crashed engines, for its peers.
struct prompt_suspicion {
    struct crash {
        server_run_id run;
        micros age{0};
    };
    prompt_part_id part;
    /// Time since a call with the part was last answered; absent if none was.
    std::optional<micros> since_answer;
    std::vector<crash> crashes;
};

/// Parts that entered and left the quarantine.
struct quarantine_changes {
    std::vector<prompt_part_id> added;
    std::vector<prompt_part_id> removed;
};

/// Finds prompt parts, and contents of calls, that crash the servers that begin to answer them, and
/// blocks calls with them. What is said of parts holds for contents, but that answered contents are
/// remembered only if servers crashed under them, and that their trials are fewer.
///
/// An engine crash is evidence against every part of the calls that waited for their first event
/// there. An answer to a call clears its parts. A part is quarantined when engines crashed under it
/// at `min_crashes` separate times without an answer in between, so that neither one failure of
/// many engines nor the parts that all calls share lead to a quarantine. Parts that engines crashed
/// under together cannot be told apart; then only calls with all of them are blocked, and any call
/// with some of them decides between them. A quarantine ends with an answer to a call that was in
/// flight or that is admitted as a trial after `quarantine_time`. Not thread-safe.
class prompt_quarantine {
public:
    /// Separate crashes that lead to a quarantine.
    static constexpr std::size_t min_crashes = 2;
    /// The same for a part that was answered before the crashes.
    static constexpr std::size_t min_crashes_after_answer = 3;
    /// Crashes within this time count as one: a common cause may have ended several engines.
    static constexpr micros separate_crash_gap{250'000};
    /// Engines that crash at any time, even together, under a part that leads to a quarantine.
    static constexpr std::size_t min_crashed_runs = 4;
    /// Evidence older than this is dropped.
    static constexpr micros evidence_lifetime{1'200'000'000};
    /// The same for a content that is blocked: longer than the time between its trials.
    static constexpr micros content_evidence_lifetime{2 * 3'600'000'000LL};
    /// Parts that are remembered; of those without evidence, the ones that calls had longest ago
    /// are dropped. Evidence may exceed this until it expires.
    static constexpr std::size_t max_parts = 8'192;
    /// Time between two trials.
    static constexpr micros trial_interval{5'000'000};

    /// `random` must outlive this object.
    explicit prompt_quarantine(random_source& random) : random_(random) {}

    /// A call was answered, and its server survived the start of the answer.
    void on_answered(const crash_suspects& suspects, time_point now);
    /// A server crashed before it began to answer a call. Returns whether this is new evidence
    /// against a part that was never answered, which peers should know at once.
    bool on_crash(const server_run_id& run, const crash_suspects& suspects, time_point now);

    /// Whether a call would be blocked; trials are not considered.
    [[nodiscard]] bool is_blocked(const crash_suspects& suspects) const;
    /// Whether servers crashed under a part of the call since that was last answered.
    [[nodiscard]] bool is_suspected(const crash_suspects& suspects) const;
    /// Admits a call, possibly as a trial, or returns the time until the next trial.
    [[nodiscard]] std::optional<micros> admit(const crash_suspects& suspects, time_point now);
    /// Whether there is evidence against anything.
    [[nodiscard]] bool has_records() const { return !records_.empty(); }

    /// What peers should know: quarantined parts, and those with recent changes.
    [[nodiscard]] std::vector<prompt_suspicion> suspicions(time_point now) const;
    void on_peer_suspicions(std::span<const prompt_suspicion> suspicions, time_point now);
    void expire(time_point now);

    [[nodiscard]] const std::set<prompt_part_id>& quarantined() const { return quarantined_; }
    /// What changed in the quarantine since the last call.
    [[nodiscard]] quarantine_changes take_changes();
    /// Separate crashes under a part since it was last answered.
    [[nodiscard]] std::size_t separate_crashes(const prompt_part_id& part) const;

    /// Minimum time from the last crash to the first trial. Grows with the number of crashes.
    static micros quarantine_time(std::size_t crashes);
    /// The same for a content.
    static micros content_quarantine_time(std::size_t crashes);

private:
    struct record {
        std::optional<time_point> answered_at;
        /// Crashes since the last answer.
        crash_groups::crash_times crashes;
        /// Set if the part is quarantined.
        const crash_groups::group* group = nullptr;
        /// In `without_evidence_`; absent if there are crashes.
        std::optional<std::list<prompt_part_id>::iterator> place;
        /// Peers are told until then, unless the part is quarantined.
        time_point reported_until{};
        time_point next_trial{};
        /// Between 0 and 1; the nodes' differ, so that they do not start trials together.
        double trial_offset = 0.0;
    };

    static std::size_t count_separate(const record& of);
    static bool is_guilty(const record& of);
    void update_quarantine(const prompt_part_id& part, record& of);
    void add_to_quarantine(const prompt_part_id& part, record& of);
    void remove_from_quarantine(const prompt_part_id& part, record& of);
    record& insert(const prompt_part_id& part);
    /// Makes room for one part more.
    void drop_oldest_without_evidence();
    /// Puts a part without evidence behind the others, and takes one with evidence from among them.
    void update_place(const prompt_part_id& part, record& of);
    void expire_crashes(const prompt_part_id& part, record& of, time_point now);
    /// The parts of a prompt that block a call with it. They belong to `suspects`.
    [[nodiscard]] std::vector<const prompt_part_id*>
    blocking_parts(const crash_suspects& suspects) const;
    /// Appends the contents with recent changes, those with most crashes first.
    void add_recent_contents(std::vector<prompt_suspicion>& list, time_point now) const;

    random_source& random_;
    absl::flat_hash_map<prompt_part_id, record> records_;
    /// Parts without crashes, the one that a call had longest ago first.
    std::list<prompt_part_id> without_evidence_;
    std::set<prompt_part_id> quarantined_;
    crash_groups groups_;
    /// Parts that entered or left the quarantine since the last look, and whether they were in it.
    std::map<prompt_part_id, bool> changed_;
};

} // namespace jujubetide
