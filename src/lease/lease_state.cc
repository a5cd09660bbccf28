// A lost reply is settled by the write's name in the row: the lease then counts from the moment at
// which that very write was sent. A write that shows up without a known sending time only updates
// the version and never lengthens the lease.
#include "jujubetide/lease/lease_state.h"

#include "jujubetide/store/bounded_json.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

/// Lost writes that are remembered; older ones can no longer lengthen the lease.
constexpr std::size_t max_unknown_writes = 16;

} // namespace

void lease_state::observe(const std::optional<lease_row>& row, time_point read_end) {
    const row_version version = row ? row->version : row_version();
    const bool changed = !seen_ || seen_->version != version;
    needs_read_ = false;
    if (changed) {
        seen_ = row.value_or(lease_row{});
        seen_since_ = read_end;
    }
    const lease_record& record = seen_->record;
    const auto applied = std::find_if(
        unknown_writes_.begin(), unknown_writes_.end(),
        [&record](const lease_write& write) { return write.record.write == record.write; });
    if (applied != unknown_writes_.end()) {
        write_applied(lease_write(*applied), version, read_end);
    } else if (holds_ && !must_retake_ && (!is_own(record) || record.fencing != fencing_)) {
        holds_ = false;
    }
}

std::optional<lease_write> lease_state::next_write(time_point now, fencing_number lowest) {
    if (needs_read_) {
        return std::nullopt;
    }
    if (must_retake_ && !held(now)) {
        holds_ = must_retake_ = false;
    }
    const lease_record& record = seen_->record;
    if (is_releasing_) {
        return is_own(record) ? std::optional(make_write("", record.fencing, now)) : std::nullopt;
    }
    if (holds_ && !must_retake_) {
        return make_write(options_.holder, fencing_, now);
    }
    if (!must_retake_ && may_be_held(now)) {
        return std::nullopt;
    }
    lease_write write = make_write(options_.holder, std::max(record.fencing.next(), lowest), now);
    write.takes = true;
    write.is_first = seen_->version == row_version() && !was_restored_;
    return write;
}

bool lease_state::may_be_held(time_point now) const {
    const lease_record& record = seen_->record;
    const millis lasts = std::max(record.duration, options_.duration);
    return now < unknown_holder_until_ || (!record.holder.empty() && now < seen_since_ + lasts);
}

void lease_state::table_restored(time_point now) {
    // A write may have been applied before the restore, and its row be gone.
    unknown_writes_.clear();
    seen_.reset();
    needs_read_ = true;
    was_restored_ = true;
    must_retake_ = holds_ && held(now);
    holds_ = must_retake_;
    unknown_holder_until_ = now + options_.duration;
}

void lease_state::write_applied(const lease_write& write, row_version version, time_point now) {
    seen_ = lease_row{write.record, version};
    seen_since_ = now;
    unknown_writes_.clear();
    holds_ = true;
    must_retake_ = false;
    fencing_ = write.record.fencing;
    if (write.takes) {
        taken_ = now;
        has_predecessor_ = !write.is_first;
        safe_until_ = {};
    }
    safe_until_ = std::max(safe_until_, write.sent + options_.duration - options_.margin);
}

void lease_state::write_unknown(const lease_write& write) {
    needs_read_ = true;
    if (unknown_writes_.size() == max_unknown_writes) {
        unknown_writes_.erase(unknown_writes_.begin());
    }
    unknown_writes_.push_back(write);
}

std::optional<lease_write> lease_state::release(time_point now) {
    const bool is_named = !needs_read_ && !must_retake_ && is_own(seen_->record);
    lost();
    if (!is_named) {
        return std::nullopt;
    }
    return make_write("", seen_->record.fencing, now);
}

bool lease_state::is_released(time_point now) const {
    const auto may_still_apply = [&](const lease_write& write) {
        return now < write.sent + options_.longest_order;
    };
    return is_releasing_ &&
           (write_count_ == 0 ||
            (!needs_read_ && !is_own(seen_->record) &&
             std::none_of(unknown_writes_.begin(), unknown_writes_.end(), may_still_apply)));
}

void lease_state::lost() {
    holds_ = must_retake_ = false;
    needs_read_ = true;
    unknown_writes_.clear();
}

micros lease_state::remaining(time_point now) const {
    return holds_ && !is_releasing_ ? std::max(micros{0}, safe_until_ - now) : micros{0};
}

absl::StatusOr<fencing_number> lease_state::permit_order(time_point now,
                                                         bool server_checks_fencing) const {
    if (remaining(now) < options_.longest_order) {
        return absl::FailedPreconditionError(
            absl::StrCat("lease ", options_.lease.str(), " is not held long enough"));
    }
    if (!server_checks_fencing && has_predecessor_ && now < taken_ + options_.longest_order) {
        return absl::UnavailableError(absl::StrCat("an order of the former holder of lease ",
                                                   options_.lease.str(), " may be under way"));
    }
    return fencing_;
}

lease_write lease_state::make_write(std::string holder, fencing_number fencing, time_point now) {
    lease_write write;
    write.record = {std::move(holder), absl::StrCat(options_.holder, "#", ++write_count_), fencing,
                    options_.duration};
    write.expected = seen_->version;
    write.sent = now;
    return write;
}

bool lease_state::is_own(const lease_record& record) const {
    return record.holder == options_.holder;
}

std::string to_text(const lease_record& record) {
    return nlohmann::json{{"holder", record.holder},
                          {"write", record.write},
                          {"fencing", record.fencing.value()},
                          {"duration_ms", record.duration.count()}}
        .dump();
}

absl::StatusOr<lease_record> parse_lease_record(const std::string& text) {
    const auto parsed = parse_bounded_json(text);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const nlohmann::json& body = *parsed;
    try {
        return lease_record{body.at("holder").get<std::string>(),
                            body.at("write").get<std::string>(),
                            fencing_number(body.at("fencing").get<std::uint64_t>()),
                            millis{body.at("duration_ms").get<std::int64_t>()}};
    } catch (const nlohmann::json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace jujubetide
