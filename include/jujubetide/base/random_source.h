#pragma once

#include <cstdint>
#include <random>

namespace jujubetide {

/// Source of random numbers, passed in wherever a decision needs chance.
/// Usable as a standard UniformRandomBitGenerator. Not thread-safe.
class random_source {
public:
    using result_type = std::uint64_t;

    virtual ~random_source() = default;
    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return UINT64_MAX; }
    result_type operator()() { return do_next(); }

    /// Uniform in [0, 1).
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(*this); }
    /// Uniform in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(*this);
    }

protected:
    random_source() = default;
    random_source(const random_source&) = default;
    random_source& operator=(const random_source&) = default;
    virtual result_type do_next() = 0;
};

/// A reproducible source: the same seed gives the same numbers.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : engine_(seed) {}

protected:
    result_type do_next() override { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace jujubetide
