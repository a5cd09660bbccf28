#pragma once

#include "entry/answer_log.h"
#include "entry/entry_metrics.h"
#include "entry/entry_parts.h"
#include "entry/hand_over.h"

#include "jujubetide/limits/answer_time.h"
#include "jujubetide/request/request_machine.h"
#include "jujubetide/settings/settings_snapshot.h"

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

namespace jujubetide {

/// One accepted request to a model service: carries out the actions of its request machine on a
/// thread of its own and fills an answer log.
class running_request {
public:
    /// Time after an offer that no peer took; doubles with each.
    static constexpr micros first_hand_over_pause{2'000'000};

    struct options {
        hand_over_record record;
        snapshot_ptr settings;
        time_point arrived{};
        time_point deadline{};
        /// The server chosen at admission, for the first attempt.
        std::optional<route_choice> first_choice;
        /// Set for requests that were admitted here; told when the request ends.
        std::optional<admission_query> admitted;
    };

    /// `settings` must hold the record's service. All references outlive the request.
    running_request(entry_parts& parts, const entry_identity& self, entry_metrics& metrics,
                    answer_time& answer_times, options given);
    /// Ends the request as if its caller had gone, and waits for its thread.
    ~running_request();
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

    void start();
    /// The caller left: the engine's work is cancelled.
    void caller_gone() { caller_gone_ = true; }
    /// This node stops: the request goes to a peer as soon as it can.
    void hand_over_soon() { hand_over_wanted_ = true; }

    /// A caller reads the answer, or has just been told where it is.
    void note_read(time_point at) { last_read_ = at; }
    [[nodiscard]] time_point last_read() const { return last_read_; }

    [[nodiscard]] const answer_log& answer() const { return log_; }
    [[nodiscard]] const hand_over_record& record() const { return given_.record; }
    [[nodiscard]] time_point deadline() const { return given_.deadline; }

private:
    class receiver;
    class budget final : public retry_allowance {
    public:
        budget(retry_budget& retries, service_id service)
            : retries_(retries), service_(std::move(service)) {}

    protected:
        bool do_try_spend() override { return retries_.try_spend(service_); }

    private:
        retry_budget& retries_;
        service_id service_;
    };

    void run();
    /// Queues the actions and carries out at once those that need no free thread. Returns whether
    /// the running attempt goes on.
    bool take(request_actions actions);
    /// Events that other threads have raised since.
    request_actions outside_events();
    /// Whether a peer is there and was not in vain asked a moment ago: an offer ends the running
    /// attempt, so that offers without a pause would never let the answer go on.
    [[nodiscard]] bool can_hand_over() const;
    [[nodiscard]] bool server_is_leaving();
    [[nodiscard]] bool other_server_available();

    void carry_out(const request_action& action);
    void apply(const choose_server& action);
    void apply(const wait_for_server& action);
    void apply(const start_attempt& action);
    void apply(const end_attempt& action);
    void apply(const deliver_piece& action);
    void apply(const finish_answer& action);
    void apply(const refuse_request& action);
    void apply(const hand_over_request& action);
    void apply(const tell_moved& action);

    absl::StatusOr<route_choice> choose(const choose_server& wish);
    /// Selects the version anew while nothing of the answer exists.
    void update_version();
    [[nodiscard]] route_query make_query(const choose_server& wish) const;
    [[nodiscard]] const backend_server_settings* server_of(const route_choice& choice) const;
    [[nodiscard]] hand_over_record current_record() const;
    [[nodiscard]] time_point now() const { return parts_.time.now(); }
    void finish(answer_end end, const std::string& outcome);

    entry_parts& parts_;
    const entry_identity& self_;
    entry_metrics& metrics_;
    answer_time& answer_times_;
    options given_;
    budget budget_;
    request_machine machine_;
    answer_log log_;
    std::deque<request_action> queue_;
    route_query query_;
    route_choice choice_;
    engine_result last_result_;
    time_point attempt_started_{};
    time_point first_piece_at_{};
    time_point last_piece_at_{};
    std::uint32_t attempt_pieces_ = 0;
    endpoint moved_to_;
    time_point next_hand_over_{};
    micros hand_over_pause_ = first_hand_over_pause;
    std::atomic<time_point> last_read_;
    std::atomic<bool> caller_gone_{false};
    std::atomic<bool> hand_over_wanted_{false};
    std::thread thread_;
};

} // namespace jujubetide
