#pragma once

#include "membership/settings_messages.h"

#include "jujubetide/base/units.h"
#include "jujubetide/settings/settings_parser.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace jujubetide {

/// Documents of a newer revision, put together from a peer's answer.
struct fetched_settings {
    settings_documents documents;
    revision at;
};

/// Brings a node's settings up to the newest revision that peers tell. Keeps for each document the
/// revision of its last change, so that a peer which is behind gets only what it lacks. Not
/// thread-safe.
class settings_sync {
public:
    /// The snapshot in force here changed; lower revisions are ignored.
    void on_snapshot(const snapshot_ptr& snapshot);
    [[nodiscard]] revision at() const { return current_ ? current_->at() : revision(); }
    [[nodiscard]] revision highest_told() const { return highest_told_; }

    /// A peer in `domain` has told its revision. Returns the question to send it, if any.
    std::optional<wire::settings_message> on_told(const failure_domain_id& domain, revision told,
                                                  time_point now);
    /// The question to send to a peer that knows more, unless an answer is still awaited.
    std::optional<wire::settings_message> question(time_point now);
    /// Answers a peer's question; nothing when this node has nothing newer.
    [[nodiscard]] std::optional<wire::settings_message>
    answer(const wire::settings_message& question) const;
    /// Puts an answer together with what is known. FailedPrecondition when it does not fit, after
    /// which the whole documents are asked for; nothing when it is not newer.
    absl::StatusOr<std::optional<fetched_settings>> on_answer(const wire::settings_message& answer);
    /// The documents at this revision were refused by the parser; they are not asked for again.
    void on_refused(revision at) { refused_ = at; }

    [[nodiscard]] bool was_ready() const { return ready_; }
    [[nodiscard]] bool has_told(const failure_domain_id& domain) const {
        return told_domains_.contains(domain);
    }
    /// Whether the node may serve: it has settings, and peers in `domains` different failure
    /// domains, or as many as there are, have told no newer ones. Once true, it stays.
    bool ready(std::size_t domains);

private:
    snapshot_ptr current_;
    /// The revision of each document's last change seen here; removed documents stay listed.
    absl::flat_hash_map<std::string, revision> changed_at_;
    /// Changes after this revision are all in `changed_at_`.
    revision tracked_since_;
    std::uint64_t documents_hash_ = 0;
    revision highest_told_;
    absl::flat_hash_set<failure_domain_id> told_domains_;
    time_point asked_{};
    bool asking_ = false;
    bool whole_wanted_ = false;
    revision refused_;
    bool ready_ = false;
};

/// Order-independent hash of all documents.
std::uint64_t hash_documents(const settings_documents& documents);

} // namespace jujubetide
