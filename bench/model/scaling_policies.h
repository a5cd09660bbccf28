#pragma once

#include "model/scaling_model.h"

namespace jujubetide::model {

/// The product's planner.
class planner_policy final : public scaling_policy {
protected:
    server_counts do_plan(const scaling_view& view) override;
    bool do_repeats(const server_group& group) const override;
    void do_answer(const server_group& group, bool accepted, time_point now) override;

private:
    scaling_planner planner_;
};

/// A number of reliable servers that does not change.
class fixed_policy final : public scaling_policy {
public:
    explicit fixed_policy(unsigned servers) : servers_(servers) {}

protected:
    server_counts do_plan(const scaling_view& view) override;

private:
    unsigned servers_;
};

/// An autoscaler to a utilisation of `target`, of reliable or of reclaimable servers; it shrinks
/// after a delay.
class utilisation_policy final : public scaling_policy {
public:
    utilisation_policy(double target, bool reclaimable)
        : target_(target), reclaimable_(reclaimable) {}

protected:
    server_counts do_plan(const scaling_view& view) override;

private:
    double target_;
    bool reclaimable_;
    bool has_seen_load_ = false;
    unsigned servers_ = 0;
    time_point confirmed_{};
};

/// Knows the scenario: orders what the load needs when the servers have booted, reclaimable where
/// no reclaim comes soon.
class hindsight_policy final : public scaling_policy {
public:
    explicit hindsight_policy(const scaling_scenario& scenario) : scenario_(scenario) {}

protected:
    server_counts do_plan(const scaling_view& view) override;

private:
    const scaling_scenario& scenario_;
};

} // namespace jujubetide::model
