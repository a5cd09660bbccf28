#pragma once

namespace jujubetide {

/// Models the time to the first event as a linear function of the prompt tokens that are prefilled
/// before it, fitted by least squares to recent observations. Learns speeds of any order within a
/// few observations. Not thread-safe.
class first_event_model {
public:
    void add(double tokens, double seen_ms);
    /// Milliseconds to the first event of a call without any tokens before it.
    [[nodiscard]] double fixed_ms() const;
    [[nodiscard]] double ms_per_token() const;

private:
    double count_ = 0.0;
    double tokens_ = 0.0;
    double seen_ = 0.0;
    double tokens_squared_ = 0.0;
    double tokens_seen_ = 0.0;
};

} // namespace jujubetide
