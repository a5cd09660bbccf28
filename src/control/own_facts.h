#pragma once

#include "jujubetide/blackboard/blackboard.h"
#include "jujubetide/membership/fact_publisher.h"

#include <atomic>

namespace jujubetide {

/// Writes facts to the own blackboard, and once the process has peers passes them on to the
/// publisher that also spreads them. Thread-safe.
class own_facts final : public fact_publisher {
public:
    explicit own_facts(blackboard& boards) : boards_(boards) {}

    /// `publisher` must outlive all calls.
    void spread_by(fact_publisher& publisher) { publisher_ = &publisher; }

protected:
    void do_leaving_host(const host_id& host) override {
        if (fact_publisher* publisher = publisher_) {
            return publisher->leaving_host(host);
        }
        boards_.backends.mark_leaving(host);
    }
    void do_move(const version_move& record) override {
        if (fact_publisher* publisher = publisher_) {
            return publisher->move(record);
        }
        boards_.moves.merge(record);
    }
    void do_settings(const snapshot_ptr& snapshot) override {
        if (fact_publisher* publisher = publisher_) {
            return publisher->settings(snapshot);
        }
        boards_.settings.offer(snapshot);
    }
    void do_leaving_self() override {
        if (fact_publisher* publisher = publisher_) {
            publisher->leaving_self();
        }
    }

private:
    blackboard& boards_;
    std::atomic<fact_publisher*> publisher_{nullptr};
};

} // namespace jujubetide
