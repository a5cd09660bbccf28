// There is no central counter. Each node counts its own admitted work with an exponential decay and
// adds what the others told of theirs. A customer's entitlement is found by filling: unused parts
// of the shares of small customers go to the others in proportion to their weights.
#include "jujubetide/limits/share_admission.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace jujubetide {
namespace {

/// Work below this is none, in tokens.
constexpr double least_tokens = 1.0;
/// Demand below this part of all work does not make a customer count as present.
constexpr double present_part = 0.001;

struct claim {
    double share = 1.0;
    double demand = 0.0;
    bool is_asker = false;
};

/// Divides `capacity` by weight, where no claim gets more than its demand; returns the asker's
/// part.
double entitlement(std::vector<claim> claims, double capacity) {
    std::sort(claims.begin(), claims.end(), [](const claim& a, const claim& b) {
        return a.demand * b.share < b.demand * a.share;
    });
    double weight_left = 0.0;
    for (const claim& one : claims) {
        weight_left += one.share;
    }
    for (const claim& one : claims) {
        const double fair = capacity * one.share / weight_left;
        const double granted = std::min(one.demand, fair);
        if (one.is_asker) {
            return fair;
        }
        capacity -= granted;
        weight_left -= one.share;
    }
    return capacity;
}

} // namespace

double share_admission::decayed(const work& done, time_point now) const {
    const std::chrono::duration<double> age = now - done.updated;
    const std::chrono::duration<double> memory = options_.memory;
    return done.tokens * std::exp(-std::max(0.0, age.count()) / memory.count());
}

void share_admission::add(work& done, double tokens, time_point now) const {
    done.tokens = decayed(done, now) + tokens;
    done.updated = now;
}

double share_admission::remote_tokens(const usage& of, time_point now) const {
    return now - of.told < options_.remote_lifetime ? of.remote : 0.0;
}

double share_admission::tokens_of(const admission_query& query) const {
    return options_.request_tokens + static_cast<double>(query.prompt_tokens.value());
}

bool share_admission::is_over_share(const service_usage& service,
                                    const admission_query& query) const {
    std::vector<claim> claims;
    double all = 0.0;
    double local = 0.0;
    double asked = 0.0;
    for (const auto& [id, of] : service.customers) {
        claim one;
        const double here = decayed(of.admitted, query.now);
        one.share = of.share;
        one.demand = here + remote_tokens(of, query.now);
        one.is_asker = id == query.customer.str();
        local += here;
        all += one.demand;
        asked = one.is_asker ? one.demand : asked;
        claims.push_back(one);
    }
    std::erase_if(claims, [all](const claim& one) {
        return !one.is_asker && one.demand < present_part * all;
    });
    if (claims.size() < 2 || local <= 0.0) {
        return false;
    }
    // The other nodes' service is assumed to keep up as well as the own node's.
    const double served = decayed(service.ended, query.now) * (all / local);
    return asked > options_.tolerance * entitlement(std::move(claims), served);
}

admission_decision share_admission::do_decide(const admission_query& query) {
    const micros allowed_time = query.deadline - query.now;
    const auto usable_time = micros(static_cast<std::int64_t>(
        static_cast<double>(allowed_time.count()) * options_.deadline_part));
    if (query.estimated_first_piece > usable_time) {
        const micros late = query.estimated_first_piece - usable_time;
        return {refusal_reason::too_late, std::max(millis{1}, to_millis(late))};
    }
    const bool pressed = static_cast<double>(query.estimated_first_piece.count()) >
                         options_.pressure * static_cast<double>(query.first_piece_target.count());
    return services_.update(query.service, [&](service_usage& service) {
        usage& own = service.customers[query.customer.str()];
        own.share = query.share;
        if (pressed && is_over_share(service, query)) {
            return admission_decision{refusal_reason::over_share, to_millis(options_.memory / 4)};
        }
        add(own.admitted, tokens_of(query), query.now);
        return admission_decision{};
    });
}

void share_admission::do_on_finished(const admission_query& query, time_point now) {
    services_.update(query.service,
                     [&](service_usage& service) { add(service.ended, tokens_of(query), now); });
}

std::vector<customer_demand> share_admission::own_demand(time_point now) const {
    std::vector<customer_demand> list;
    const double memory = std::chrono::duration<double>(options_.memory).count();
    services_.for_each([&](const service_id& service, const service_usage& usages) {
        for (const auto& [id, of] : usages.customers) {
            const double tokens = decayed(of.admitted, now);
            if (tokens >= least_tokens) {
                list.push_back({service, customer_id(id), of.share, tokens / memory});
            }
        }
    });
    return list;
}

void share_admission::set_remote_demand(const std::vector<customer_demand>& demand,
                                        time_point now) {
    std::vector<service_id> known;
    services_.for_each(
        [&known](const service_id& id, const service_usage&) { known.push_back(id); });
    for (const service_id& id : known) {
        services_.update(id, [&](service_usage& service) {
            absl::erase_if(service.customers, [&](const auto& entry) {
                return decayed(entry.second.admitted, now) < least_tokens;
            });
            for (auto& [customer, of] : service.customers) {
                of.remote = 0.0;
            }
        });
    }
    const double memory = std::chrono::duration<double>(options_.memory).count();
    for (const customer_demand& one : demand) {
        services_.update(one.service, [&](service_usage& service) {
            usage& of = service.customers[one.customer.str()];
            of.share = one.share;
            of.remote = one.tokens_per_second * memory;
            of.told = now;
        });
    }
}

} // namespace jujubetide
