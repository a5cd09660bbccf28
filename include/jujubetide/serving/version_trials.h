#pragma once

#include "jujubetide/serving/backend_list.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jujubetide {

/// The operators' order to move a service's calls to servers of another version.
struct move_order {
    service_id service;
    version_id to;
};

/// What a node saw of the answers of a version that is on trial, for its peers.
struct trial_report {
    service_id service;
    version_id version;
    std::uint64_t bad_answers = 0;
    /// The version gets no more calls.
    bool is_stopped = false;
};

/// Limits the calls that reach a version to which a service is to be moved: each node sends it a
/// fixed share of the service's calls at most, and none any more once the nodes together have had
/// `max_bad_answers` from it. A stopped version stays so until another version is ordered.
/// Not thread-safe.
class version_trials {
public:
    /// Bad answers of a version, at all nodes, after which it gets no more calls.
    static constexpr std::uint64_t max_bad_answers = 20;

    /// `share` is the largest share of a service's calls for the version, from 0 to 1.
    explicit version_trials(double share) : share_(share) {}

    /// Returns whether the order was not known.
    bool on_order(const move_order& order);
    /// The order was taken away; a version that was stopped stays so.
    void on_order_removed(const service_id& service);

    /// Whether the next call may go to the server.
    [[nodiscard]] bool may_send(const backend_server& server, const backend_list& servers) const;
    void on_sent(const backend_server& server);
    /// Returns whether the version is stopped now and was not before.
    bool on_answer(const backend_server& server, bool is_bad);

    [[nodiscard]] std::vector<trial_report> reports() const;
    /// Returns the trials that are stopped now and were not before.
    std::vector<move_order> on_peer_reports(const node_id& peer,
                                            const std::vector<trial_report>& reports);

private:
    struct trial {
        version_id version;
        bool is_stopped = false;
        std::uint64_t calls = 0;
        std::uint64_t calls_to_version = 0;
        std::uint64_t bad_answers = 0;
        std::map<node_id, std::uint64_t> peers_bad_answers;
    };

    static bool update_stop(trial& of);

    double share_;
    std::map<service_id, trial> trials_;
};

} // namespace jujubetide
