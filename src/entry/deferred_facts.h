#pragma once

#include "jujubetide/membership/fact_publisher.h"

#include <atomic>

namespace jujubetide {

/// Passes facts on to a publisher that is made later; before that there are no facts to tell.
/// Thread-safe.
class deferred_facts final : public fact_publisher {
public:
    /// `target` must outlive all calls.
    void set(fact_publisher& target) { target_ = &target; }

protected:
    void do_leaving_host(const host_id& host) override {
        if (fact_publisher* target = target_) {
            target->leaving_host(host);
        }
    }
    void do_move(const version_move& record) override {
        if (fact_publisher* target = target_) {
            target->move(record);
        }
    }
    void do_settings(const snapshot_ptr& snapshot) override {
        if (fact_publisher* target = target_) {
            target->settings(snapshot);
        }
    }
    void do_leaving_self() override {
        if (fact_publisher* target = target_) {
            target->leaving_self();
        }
    }

private:
    std::atomic<fact_publisher*> target_{nullptr};
};

} // namespace jujubetide
