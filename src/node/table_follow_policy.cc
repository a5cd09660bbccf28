#include "node/table_follow_policy.h"

#include "node/node_events.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr micros update_period{200'000};
/// A node hears its live peers within this time of its start.
constexpr micros startup_delay{1'000'000};
/// Time for which the store may hold a call for changes. Readers need a short one, as they notice a
/// dead connection only by the end of a call; the others notice that they lag behind the readers.
constexpr millis reader_poll_wait{2'000};
constexpr millis non_reader_poll_wait{20'000};
/// Longest delay of a retry after failures. Non-readers can wait longer, as the readers notify them
/// when the store answers again.
constexpr micros max_reader_retry{800'000};
constexpr micros max_non_reader_retry{3'000'000};

} // namespace

table_follow_policy::table_follow_policy(serving_state& state, peer_exchange& peers,
                                         table_follower& config_follower,
                                         std::vector<table_follower*> shared_followers)
    : state_(state), peers_(peers), config_follower_(config_follower),
      shared_followers_(std::move(shared_followers)) {}

void table_follow_policy::start() {
    started_ = state_.time.now();
    set_following(false);
    timer_ = state_.timers.every(update_period, update_period, [this] { update(); });
}

void table_follow_policy::update() {
    if (state_.time.now() - started_ < startup_delay) {
        return;
    }
    const bool is_reader = peers_.is_table_reader();
    config_follower_.set_poll_timing(is_reader ? reader_poll_wait : non_reader_poll_wait,
                                     is_reader ? max_reader_retry : max_non_reader_retry);
    // A node that gets no answer from the store notices by its configuration table, which it always
    // follows, when the store answers again.
    const bool should_follow =
        is_reader || (!peers_.has_live_table_reader() && !config_follower_.is_store_unavailable());
    if (should_follow != is_following_) {
        state_.log.write(should_follow ? feeds_followed : feeds_left,
                         {{"live_peers", std::to_string(peers_.live_peers())}});
        set_following(should_follow);
    }
    const bool is_store_unavailable =
        config_follower_.is_store_unavailable() ||
        std::any_of(shared_followers_.begin(), shared_followers_.end(),
                    [](const auto* follower) { return follower->is_store_unavailable(); });
    peers_.set_store_access(!is_store_unavailable, is_following_ && !is_store_unavailable);
}

void table_follow_policy::set_following(bool is_following) {
    is_following_ = is_following;
    for (table_follower* follower : shared_followers_) {
        follower->set_poll_timing(reader_poll_wait, max_reader_retry);
        follower->set_following(is_following);
    }
}

} // namespace jujubetide
