// A packed record takes six bytes: the hash of service and customer in four, and tokens a second in
// two, as a number of 12 bits shifted by one of 4. A msgpack array of the same would take nine.
#include "membership/demand_spread.h"

#include "jujubetide/base/rendezvous_hash.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace jujubetide {
namespace {

constexpr std::size_t record_bytes = 6;
constexpr int byte_bits = 8;
constexpr int mantissa_bits = 12;
constexpr std::uint32_t mantissa_end = 1U << mantissa_bits;
constexpr std::uint32_t max_exponent = 15;

std::uint32_t hash_of(const service_id& service, const customer_id& customer) {
    return static_cast<std::uint32_t>(
        stable_hash(absl::StrCat(service.str(), "\n", customer.str())));
}

std::uint32_t pack_tokens(double tokens) {
    std::uint32_t exponent = 0;
    while (std::round(tokens) >= mantissa_end && exponent < max_exponent) {
        tokens /= 2.0;
        ++exponent;
    }
    const double mantissa = std::min(std::round(tokens), mantissa_end - 1.0);
    return static_cast<std::uint32_t>(mantissa) | exponent << mantissa_bits;
}

double unpack_tokens(std::uint32_t packed) {
    return std::ldexp(packed % mantissa_end, static_cast<int>(packed >> mantissa_bits));
}

void append(std::string& packed, std::uint32_t value, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i) {
        packed.push_back(static_cast<char>(value & UINT8_MAX));
        value >>= byte_bits;
    }
}

std::uint32_t read(const std::string& packed, std::size_t place, std::size_t bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = bytes; i > 0; --i) {
        value = (value << byte_bits) | static_cast<std::uint8_t>(packed[place + i - 1]);
    }
    return value;
}

void add(std::map<std::uint32_t, double>& sums, const std::map<std::uint32_t, double>& more) {
    for (const auto& [hash, tokens] : more) {
        sums[hash] += tokens;
    }
}

} // namespace

void demand_spread::set_settings(const snapshot_ptr& settings) {
    names_.clear();
    absl::flat_hash_set<std::uint32_t> collided;
    for (const customer_settings& customer : settings->customers()) {
        for (const service_id& service : customer.services) {
            const std::uint32_t hash = hash_of(service, customer.id);
            const customer_demand name{service, customer.id, customer.share, 0.0};
            if (!names_.try_emplace(hash, name).second) {
                collided.insert(hash);
            }
        }
    }
    for (const std::uint32_t hash : collided) {
        names_.erase(hash);
    }
}

void demand_spread::set_own(const std::vector<customer_demand>& demand, time_point now) {
    own_ = {{}, now};
    for (const customer_demand& one : demand) {
        const std::uint32_t hash = hash_of(one.service, one.customer);
        if (names_.contains(hash)) {
            own_.demand[hash] += one.tokens_per_second;
        }
    }
}

bool demand_spread::is_due(time_point now) {
    if (now < next_) {
        return false;
    }
    // Rounds come a little before or after the second.
    constexpr micros early{100'000};
    next_ = now + period - early;
    return true;
}

demand_spread::demand_map demand_spread::own_at(time_point now) const {
    return now - own_.received < report_lifetime ? own_.demand : demand_map();
}

std::string demand_spread::report(time_point now) {
    return is_due(now) ? pack(own_at(now), max_reported) : std::string();
}

std::string demand_spread::sums(time_point now) {
    if (!is_due(now)) {
        return {};
    }
    std::erase_if(reports_, [now](const auto& entry) {
        return now - entry.second.received >= report_lifetime;
    });
    demand_map all = own_at(now);
    for (const auto& [node, told] : reports_) {
        add(all, told.demand);
    }
    told_sums& at = sums_[self_.failure_domain];
    at.demand = all;
    at.received = now;
    return pack(all, max_summed);
}

absl::Status demand_spread::check(const std::string& packed) {
    if (packed.size() % record_bytes != 0 || packed.size() > max_summed * record_bytes) {
        return absl::InvalidArgumentError("demand of a wrong length");
    }
    return absl::OkStatus();
}

void demand_spread::on_report(const node_id& from, const std::string& packed, time_point now) {
    constexpr std::size_t max_reports = 4'096;
    if (!packed.empty() && reports_.size() < max_reports) {
        reports_[from] = {unpack(packed), now};
    }
}

void demand_spread::on_sums(const failure_domain_id& domain, std::uint64_t stream,
                            std::uint64_t sequence, const std::string& packed, time_point now) {
    told_sums& at = sums_[domain];
    if (packed.empty() || (stream == at.stream && sequence <= at.sequence)) {
        return;
    }
    at = {unpack(packed), stream, sequence, now};
}

std::vector<customer_demand> demand_spread::others(time_point now) const {
    demand_map all;
    for (const auto& [domain, told] : sums_) {
        if (now - told.received < sums_lifetime) {
            add(all, told.demand);
        }
    }
    const auto own_sums = sums_.find(self_.failure_domain);
    const bool own_summed =
        own_sums != sums_.end() && now - own_sums->second.received < sums_lifetime;
    const demand_map own = own_summed ? own_at(now) : demand_map();
    std::vector<customer_demand> list;
    for (const auto& [hash, tokens] : all) {
        const auto name = names_.find(hash);
        const auto mine = own.find(hash);
        const double rest = tokens - (mine == own.end() ? 0.0 : mine->second);
        if (name != names_.end() && rest > 0.0) {
            list.push_back(name->second);
            list.back().tokens_per_second = rest;
        }
    }
    return list;
}

std::string demand_spread::pack(const demand_map& demand, std::size_t cap) {
    constexpr double least_told = 0.5;
    std::vector<std::pair<double, std::uint32_t>> records;
    for (const auto& [hash, tokens] : demand) {
        if (tokens >= least_told) {
            records.emplace_back(tokens, hash);
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    std::string packed;
    for (std::size_t i = 0; i < std::min(cap, records.size()); ++i) {
        append(packed, records[i].second, sizeof(std::uint32_t));
        append(packed, pack_tokens(records[i].first), sizeof(std::uint16_t));
    }
    return packed;
}

demand_spread::demand_map demand_spread::unpack(const std::string& packed) {
    demand_map demand;
    for (std::size_t place = 0; place < packed.size(); place += record_bytes) {
        const std::uint32_t hash = read(packed, place, sizeof(std::uint32_t));
        demand[hash] =
            unpack_tokens(read(packed, place + sizeof(std::uint32_t), sizeof(std::uint16_t)));
    }
    return demand;
}

} // namespace jujubetide
