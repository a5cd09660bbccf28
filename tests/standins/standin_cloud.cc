#include "standins/standin_cloud.h"

#include <absl/strings/str_cat.h>

namespace jujubetide {

void standin_cloud::add_host(const listed_host& host) {
    const std::lock_guard lock(mutex_);
    hosts_[host.host].host = host;
}

void standin_cloud::set_prices(std::vector<host_price> prices) {
    const std::lock_guard lock(mutex_);
    prices_ = std::move(prices);
}

void standin_cloud::set_refuse_starts(bool refuse) {
    const std::lock_guard lock(mutex_);
    refuse_starts_ = refuse;
}

void standin_cloud::set_list_lag(millis lag) {
    const std::lock_guard lock(mutex_);
    list_lag_ = lag;
}

void standin_cloud::reclaim_host(const host_id& host, millis time_left) {
    const std::lock_guard lock(mutex_);
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        reclaim_locked(found->second, time_left);
    }
}

void standin_cloud::reclaim_domain(const failure_domain_id& failure_domain, millis time_left) {
    const std::lock_guard lock(mutex_);
    for (auto& [id, record] : hosts_) {
        if (record.host.reclaimable && record.host.failure_domain == failure_domain) {
            reclaim_locked(record, time_left);
        }
    }
}

void standin_cloud::reclaim_locked(host_record& record, millis time_left) {
    const time_point now = clock_.now();
    record.leaves = std::min(record.leaves, now);
    record.ends = std::min(record.ends, now + time_left);
}

absl::StatusOr<host_id> standin_cloud::do_start(const host_start& request) {
    const std::lock_guard lock(mutex_);
    if (const auto found = started_.find(request.start_id); found != started_.end()) {
        return found->second;
    }
    if (refuse_starts_) {
        return absl::ResourceExhaustedError(
            absl::StrCat("no ", request.host_class.str(), " in ", request.failure_domain.str()));
    }
    const host_id id(absl::StrCat("host-", request.start_id));
    started_[request.start_id] = id;
    host_record& record = hosts_[id];
    record.host = {id, request.failure_domain, request.host_class, request.reclaimable, false};
    record.begins = clock_.now();
    return id;
}

absl::Status standin_cloud::do_stop(const host_id& host) {
    const std::lock_guard lock(mutex_);
    const auto found = hosts_.find(host);
    if (found != hosts_.end()) {
        reclaim_locked(found->second, millis{0});
    }
    return absl::OkStatus();
}

absl::StatusOr<std::vector<reclaim_notice>> standin_cloud::do_reclaim_notices() {
    const std::lock_guard lock(mutex_);
    const time_point now = clock_.now();
    std::vector<reclaim_notice> notices;
    for (const auto& [id, record] : hosts_) {
        if (record.leaves <= now && now < record.ends) {
            notices.push_back({id, record.host.failure_domain, to_millis(record.ends - now)});
        }
    }
    return notices;
}

absl::StatusOr<std::vector<host_price>> standin_cloud::do_prices() {
    const std::lock_guard lock(mutex_);
    return prices_;
}

absl::StatusOr<std::vector<listed_host>> standin_cloud::do_list() {
    const std::lock_guard lock(mutex_);
    const time_point seen = clock_.now() - list_lag_;
    std::vector<listed_host> listed;
    for (const auto& [id, record] : hosts_) {
        if (record.begins <= seen && seen < record.ends) {
            listed.push_back(record.host);
            listed.back().leaving = record.leaves <= seen;
        }
    }
    return listed;
}

} // namespace jujubetide
