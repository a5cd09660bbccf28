#pragma once

#include "jujubetide/backend/engine_client.h"

#include <functional>

namespace jujubetide {

/// One engine that takes orders. Not thread-safe.
class fake_engine final : public engine_client {
public:
    explicit fake_engine(bool checks_fencing) : checks_fencing_(checks_fencing) {}

    /// Runs when an order has left its sender and before it arrives.
    std::function<void(const engine_order&)> on_the_way = [](const engine_order&) {};
    /// Orders that had effect, in their order.
    std::vector<engine_order> applied;

    [[nodiscard]] version_id version() const {
        return applied.empty() ? version_id() : applied.back().version;
    }

protected:
    engine_result do_run(const endpoint& /*engine*/, const engine_request& /*request*/,
                         engine_receiver& /*receiver*/) override {
        return {};
    }
    absl::Status do_cancel(const endpoint& /*engine*/, const attempt_id& /*attempt*/) override {
        return absl::OkStatus();
    }
    absl::StatusOr<load_report> do_load(const endpoint& /*engine*/) override {
        load_report report;
        report.version = version();
        return report;
    }
    absl::StatusOr<std::vector<cache_event>> do_cache_events(const endpoint& /*engine*/,
                                                             sequence_number /*after*/) override {
        return std::vector<cache_event>();
    }
    absl::Status do_order(const endpoint& /*engine*/, const engine_order& order) override {
        // Moved out, so that orders sent while this one is on its way arrive first.
        const auto on_the_way_once = std::exchange(on_the_way, [](const engine_order&) {});
        on_the_way_once(order);
        if (checks_fencing_ && order.fencing < highest_) {
            return absl::FailedPreconditionError("old fencing number");
        }
        highest_ = std::max(highest_, order.fencing);
        applied.push_back(order);
        return absl::OkStatus();
    }

private:
    bool checks_fencing_;
    fencing_number highest_;
};

} // namespace jujubetide
