#include "node/table_follow_policy.h"

#include "node/node_events.h"

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr micros look_period{200'000};
/// The others are heard within this time of the start.
constexpr micros listen_time{1'000'000};
/// A reader notices a dead connection to the store by the end of a call; the others notice that
/// they lag behind the readers.
constexpr millis reader_wait{2'000};
constexpr millis other_wait{20'000};
/// Longest wait after failures of a reader, and of those that readers tell of the store's return.
constexpr micros reader_retry{800'000};
constexpr micros other_retry{3'000'000};

} // namespace

table_follow_policy::table_follow_policy(serving_state& state, peer_exchange& peers,
                                         table_follower& always,
                                         std::vector<table_follower*> shared)
    : state_(state), peers_(peers), always_(always), shared_(std::move(shared)) {}

void table_follow_policy::start() {
    started_ = state_.time.now();
    set_following(false);
    timer_ = state_.timers.every(look_period, look_period, [this] { look(); });
}

void table_follow_policy::look() {
    if (state_.time.now() - started_ < listen_time) {
        return;
    }
    const bool is_reader = peers_.is_table_reader();
    always_.set_pace(is_reader ? reader_wait : other_wait, is_reader ? reader_retry : other_retry);
    // A node that the store does not answer learns of its return by the table that it always
    // follows.
    const bool follows = is_reader || (!peers_.has_live_table_reader() && !always_.is_away());
    if (follows != follows_) {
        state_.log.write(follows ? feeds_followed : feeds_left,
                         {{"live_peers", std::to_string(peers_.live_peers())}});
        set_following(follows);
    }
    const bool is_away =
        always_.is_away() ||
        std::any_of(shared_.begin(), shared_.end(), [](const auto* one) { return one->is_away(); });
    peers_.set_store_access(!is_away, follows_ && !is_away);
}

void table_follow_policy::set_following(bool follows) {
    follows_ = follows;
    for (table_follower* one : shared_) {
        one->set_pace(reader_wait, reader_retry);
        one->set_following(follows);
    }
}

} // namespace jujubetide
