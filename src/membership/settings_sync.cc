// A delta holds every document that changed here after the asker's revision. It can miss a document
// that changed and changed back between two snapshots seen here, so each answer carries the hash of
// the whole; where that does not match, the asker fetches everything.
#include "membership/settings_sync.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <algorithm>

namespace jujubetide {
namespace {

/// Times after which an answer that has not come is taken for lost.
constexpr micros delta_timeout{400'000};
constexpr micros whole_timeout{2'000'000};

} // namespace

std::uint64_t hash_documents(const settings_documents& documents) {
    std::uint64_t hash = 0;
    for (const auto& [path, text] : documents) {
        hash ^= stable_hash(text, stable_hash(path));
    }
    return hash;
}

void settings_sync::on_snapshot(const snapshot_ptr& snapshot) {
    if (snapshot == nullptr || snapshot->at() <= at()) {
        return;
    }
    if (current_ == nullptr) {
        tracked_since_ = snapshot->at();
    } else {
        for (const auto& [path, text] : snapshot->documents()) {
            const auto before = current_->documents().find(path);
            if (before == current_->documents().end() || before->second != text) {
                changed_at_[path] = snapshot->at();
            }
        }
        for (const auto& [path, text] : current_->documents()) {
            if (!snapshot->documents().contains(path)) {
                changed_at_[path] = snapshot->at();
            }
        }
    }
    current_ = snapshot;
    documents_hash_ = hash_documents(snapshot->documents());
    asking_ = false;
    whole_wanted_ = false;
    highest_told_ = std::max(highest_told_, at());
}

std::optional<wire::settings_message> settings_sync::on_told(const failure_domain_id& domain,
                                                             revision told, time_point now) {
    told_domains_.insert(domain);
    highest_told_ = std::max(highest_told_, told);
    return told > at() ? question(now) : std::nullopt;
}

std::optional<wire::settings_message> settings_sync::question(time_point now) {
    const bool whole = whole_wanted_ || current_ == nullptr;
    const bool waits = asking_ && now - asked_ < (whole ? whole_timeout : delta_timeout);
    if (highest_told_ <= at() || highest_told_ <= refused_ || waits) {
        return std::nullopt;
    }
    asking_ = true;
    asked_ = now;
    wire::settings_message message;
    message.base = whole ? 0 : at().value();
    return message;
}

std::optional<wire::settings_message>
settings_sync::answer(const wire::settings_message& question) const {
    const revision base(question.base);
    if (current_ == nullptr || base >= at()) {
        return std::nullopt;
    }
    wire::settings_message reply;
    reply.at = at().value();
    reply.documents_hash = documents_hash_;
    const bool whole = question.base == 0 || base < tracked_since_;
    reply.base = whole ? 0 : question.base;
    for (const auto& [path, text] : current_->documents()) {
        const auto changed = changed_at_.find(path);
        if (whole || (changed != changed_at_.end() && changed->second > base)) {
            reply.documents.push_back({path, text});
        }
    }
    for (const auto& [path, changed] : changed_at_) {
        if (!whole && changed > base && !current_->documents().contains(path)) {
            reply.removed.push_back(path);
        }
    }
    return reply;
}

absl::StatusOr<std::optional<fetched_settings>>
settings_sync::on_answer(const wire::settings_message& answer) {
    asking_ = false;
    if (revision(answer.at) <= at()) {
        return std::nullopt;
    }
    fetched_settings fetched;
    fetched.at = revision(answer.at);
    if (answer.base != 0) {
        if (revision(answer.base) != at()) {
            return std::nullopt;
        }
        fetched.documents = current_->documents();
    }
    for (const wire::document_record& document : answer.documents) {
        fetched.documents[document.path] = document.text;
    }
    for (const std::string& path : answer.removed) {
        fetched.documents.erase(path);
    }
    if (hash_documents(fetched.documents) != answer.documents_hash) {
        whole_wanted_ = true;
        return absl::FailedPreconditionError("the documents do not match their hash");
    }
    return fetched;
}

bool settings_sync::ready(std::size_t domains) {
    ready_ =
        ready_ || (current_ != nullptr && told_domains_.size() >= domains && at() >= highest_told_);
    return ready_;
}

} // namespace jujubetide
