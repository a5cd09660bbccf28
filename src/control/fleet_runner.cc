#include "control/fleet_runner.h"

#include "control/fleet_events.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

// Every order to the cloud has a row that was written before: a row `wanted` for a start, under a
// start id that is never used again, and a row `draining` for a stop. Rows only go forward, and
// both orders are idempotent, so that whoever holds the lease may repeat them, and a former
// holder's late order does nothing that the rows do not ask for.

namespace jujubetide {
namespace {

constexpr micros renewal_period{5'000'000};
constexpr micros price_period{60'000'000};
/// Time from the mark as leaving until no node sends new work any more.
constexpr millis leaving_spread{15'000};
/// The most that the list of hosts lags.
constexpr millis longest_list_lag{120'000};

bool is_same(const fleet_problem& a, const fleet_problem& b) {
    return a.prices == b.prices && a.running == b.running && a.refused == b.refused;
}

} // namespace

void fleet_runner::step() {
    parts_.lease.step_each(renewal_period);
    const snapshot_ptr settings = parts_.board.settings.current();
    if (!settings || !settings->fleet() || !parts_.lease.held() || !read_cloud()) {
        return;
    }
    absl::StatusOr<fleet_record> record = parts_.hosts.read();
    if (!record.ok()) {
        parts_.log.write(fleet_not_read, {{"reason", std::string(record.status().message())}});
        return;
    }
    for (fleet_row& row : record->rows) {
        carry_out(*settings->fleet(), row);
    }
    // Rows that were removed or could not be written.
    std::erase_if(record->rows, [](const fleet_row& row) { return row.start_id.empty(); });
    decide(settings, *record);
}

/// Reads the hosts, and the prices when they are due; returns whether both are known.
bool fleet_runner::read_cloud() {
    auto listed = parts_.listed.list();
    if (!listed.ok()) {
        return false;
    }
    listed_ = *std::move(listed);
    for (const listed_host& host : listed_) {
        seen_.insert(host.host);
    }
    const time_point now = parts_.time.now();
    if (prices_.empty() || now - last_prices_ >= price_period) {
        if (const auto prices = parts_.platform_cloud.prices(); prices.ok()) {
            last_prices_ = now;
            prices_.clear();
            for (const host_price& each : *prices) {
                prices_[{each.host_class, each.failure_domain, each.reclaimable}] = each.price;
            }
        }
    }
    return !prices_.empty();
}

void fleet_runner::carry_out(const fleet_settings& settings, fleet_row& row) {
    switch (row.state) {
    case fleet_row_state::wanted:
        start(row);
        return;
    case fleet_row_state::started:
        forget_gone(row);
        return;
    case fleet_row_state::draining:
        drain(settings, row);
        return;
    case fleet_row_state::stopped:
        if (find_listed(row.host) == nullptr &&
            parts_.time.wall_now() - row.since >= longest_list_lag) {
            remove(row);
        }
        return;
    }
}

void fleet_runner::start(fleet_row& row) {
    if (!order_permitted()) {
        return;
    }
    const absl::StatusOr<host_id> host = parts_.platform_cloud.start(
        {row.start_id, row.offer.host_class, row.offer.failure_domain, row.offer.reclaimable});
    if (absl::IsResourceExhausted(host.status())) {
        parts_.log.write(fleet_start_refused,
                         {{"start_id", row.start_id},
                          {"class", row.offer.host_class.str()},
                          {"domain", row.offer.failure_domain.str()},
                          {"reclaimable", row.offer.reclaimable ? "yes" : "no"}});
        refused_.on_refused(row.offer, parts_.time.now());
        remove(row);
        return;
    }
    if (!host.ok()) {
        parts_.log.write(fleet_start_failed, {{"start_id", row.start_id},
                                              {"reason", std::string(host.status().message())}});
        return;
    }
    refused_.on_started(row.offer);
    row.host = *host;
    set_state(row, fleet_row_state::started);
    parts_.log.write(
        fleet_host_started,
        {{"start_id", row.start_id}, {"host", row.host.str()}, {"service", row.service.str()}});
}

void fleet_runner::drain(const fleet_settings& settings, fleet_row& row) {
    if (!parts_.board.backends.is_leaving(row.host)) {
        parts_.facts.leaving_host(row.host);
        parts_.log.write(fleet_host_draining,
                         {{"host", row.host.str()}, {"service", row.service.str()}});
    }
    const millis drained_for = parts_.time.wall_now() - row.since;
    const bool drained = drained_for >= leaving_spread && parts_.activity.is_idle(row.host);
    if (drained || drained_for >= settings.drain_timeout) {
        stop(row);
    }
}

void fleet_runner::stop(fleet_row& row) {
    if (!order_permitted()) {
        return;
    }
    const absl::Status stopped = parts_.platform_cloud.stop(row.host);
    if (!stopped.ok()) {
        parts_.log.write(fleet_stop_failed,
                         {{"host", row.host.str()}, {"reason", std::string(stopped.message())}});
        return;
    }
    set_state(row, fleet_row_state::stopped);
    parts_.log.write(fleet_host_stopped,
                     {{"host", row.host.str()}, {"service", row.service.str()}});
}

/// Removes the row of a host that has left the list, as after a reclaim. A host that the list has
/// not shown yet may still be starting.
void fleet_runner::forget_gone(fleet_row& row) {
    if (find_listed(row.host) == nullptr && seen_.contains(row.host)) {
        parts_.log.write(fleet_host_gone,
                         {{"host", row.host.str()}, {"service", row.service.str()}});
        remove(row);
    }
}

void fleet_runner::set_state(fleet_row& row, fleet_row_state state) {
    row.state = state;
    row.since = parts_.time.wall_now();
    if (const absl::Status written = parts_.hosts.write(row); !written.ok()) {
        parts_.log.write(fleet_not_written,
                         {{"start_id", row.start_id}, {"reason", std::string(written.message())}});
    }
}

void fleet_runner::remove(fleet_row& row) {
    if (const absl::Status removed = parts_.hosts.remove(row); !removed.ok()) {
        parts_.log.write(fleet_not_written,
                         {{"start_id", row.start_id}, {"reason", std::string(removed.message())}});
        return;
    }
    row.start_id.clear();
}

void fleet_runner::decide(const snapshot_ptr& settings, const fleet_record& record) {
    const std::vector<fleet_host> hosts = hosts_of(record);
    const fleet_problem problem = problem_of(*settings->fleet(), hosts);
    const fleet_steps steps = next_fleet_steps(problem, plan_for(problem, settings->at()), hosts);
    const std::vector<fleet_row> changed = changed_rows(record, steps);
    // The lease may have lapsed while the plan was made.
    if (changed.empty() || !parts_.lease.held()) {
        return;
    }
    if (const absl::Status decided = parts_.hosts.decide(record, changed); !decided.ok()) {
        parts_.log.write(fleet_not_written, {{"start_id", changed.front().start_id},
                                             {"reason", std::string(decided.message())}});
    }
}

fleet_problem fleet_runner::problem_of(const fleet_settings& settings,
                                       const std::vector<fleet_host>& hosts) const {
    fleet_problem problem;
    for (const fleet_class_settings& each : settings.classes) {
        problem.work_rates[each.id] = each.work_rate;
    }
    for (const fleet_demand_settings& each : settings.demands) {
        problem.demands.push_back({each.service, each.work_rate, each.max_utilisation});
    }
    problem.prices = prices_;
    problem.running = running_hosts(hosts);
    problem.refused = refused_.at(parts_.time.now());
    problem.weight_loads_at_once = settings.weight_loads_at_once;
    problem.start_time = settings.start_time;
    problem.payback = settings.payback;
    return problem;
}

const fleet_plan& fleet_runner::plan_for(const fleet_problem& problem, revision settings) {
    if (!plan_ || planned_settings_ != settings || !is_same(planned_, problem)) {
        plan_ = parts_.planner.plan(problem);
        planned_ = problem;
        planned_settings_ = settings;
        if (!plan_->why_not.empty()) {
            parts_.log.write(fleet_not_covered, {{"findings", plan_->why_not.format()}});
        }
    }
    return *plan_;
}

/// The hosts of the rows, and the listed hosts without a row on which a backend server is declared.
std::vector<fleet_host> fleet_runner::hosts_of(const fleet_record& record) const {
    std::vector<fleet_host> hosts;
    std::set<host_id> known;
    for (const fleet_row& row : record.rows) {
        known.insert(row.host);
        if (row.state != fleet_row_state::stopped) {
            hosts.push_back({row.start_id, row.service, row.offer, state_of(row)});
        }
    }
    for (const listed_host& host : listed_) {
        const auto service = parts_.activity.service_of(host.host);
        if (service && !known.contains(host.host)) {
            hosts.push_back({host.host.str(),
                             *service,
                             {host.host_class, host.failure_domain, host.reclaimable},
                             state_of(host)});
        }
    }
    return hosts;
}

fleet_host_state fleet_runner::state_of(const fleet_row& row) const {
    if (row.state == fleet_row_state::draining) {
        return fleet_host_state::draining;
    }
    if (row.state == fleet_row_state::wanted) {
        return fleet_host_state::starting;
    }
    const listed_host* listed = find_listed(row.host);
    return listed == nullptr ? fleet_host_state::starting : state_of(*listed);
}

fleet_host_state fleet_runner::state_of(const listed_host& host) const {
    if (host.leaving || parts_.board.backends.is_leaving(host.host)) {
        return fleet_host_state::draining;
    }
    return parts_.activity.serves(host.host) ? fleet_host_state::serving
                                             : fleet_host_state::starting;
}

std::vector<fleet_row> fleet_runner::changed_rows(const fleet_record& record,
                                                  const fleet_steps& steps) const {
    std::vector<fleet_row> changed;
    std::uint64_t number = record.next_number;
    const wall_time now = parts_.time.wall_now();
    for (const fleet_start& start : steps.starts) {
        fleet_row row;
        row.start_id = absl::StrCat(start.service.str(), "-", number++);
        row.service = start.service;
        row.offer = start.offer;
        row.since = now;
        changed.push_back(std::move(row));
    }
    for (const std::string& start_id : steps.drains) {
        if (auto row = draining_row(record, start_id)) {
            row->state = fleet_row_state::draining;
            row->since = now;
            changed.push_back(*std::move(row));
        }
    }
    return changed;
}

/// The row of a host to be drained: its own, or a new one for a host that has none. A host that the
/// cloud has not named yet is drained later.
std::optional<fleet_row> fleet_runner::draining_row(const fleet_record& record,
                                                    const std::string& start_id) const {
    for (const fleet_row& row : record.rows) {
        if (row.start_id == start_id) {
            return row.host.empty() ? std::nullopt : std::optional(row);
        }
    }
    const listed_host* host = find_listed(host_id(start_id));
    if (host == nullptr) {
        return std::nullopt;
    }
    fleet_row row;
    row.start_id = start_id;
    row.service = parts_.activity.service_of(host->host).value_or(service_id());
    row.offer = {host->host_class, host->failure_domain, host->reclaimable};
    row.host = host->host;
    return row;
}

const listed_host* fleet_runner::find_listed(const host_id& host) const {
    const auto found = std::find_if(listed_.begin(), listed_.end(),
                                    [&host](const listed_host& each) { return each.host == host; });
    return found == listed_.end() ? nullptr : &*found;
}

/// Whether an order may leave now; the cloud does not check fencing numbers.
bool fleet_runner::order_permitted() const {
    return parts_.lease.permit_order(false).ok();
}

} // namespace jujubetide
