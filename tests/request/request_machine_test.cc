#include "support/fixed_seed_check.h"

#include "jujubetide/request/request_machine.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace jujubetide;

namespace {

constexpr std::uint32_t answer_pieces = 6;
constexpr micros deadline_after{60'000'000};

class counted_retries final : public retry_allowance {
public:
    explicit counted_retries(int left) : left_(left) {}

protected:
    bool do_try_spend() override { return left_-- > 0; }

private:
    int left_;
};

std::string piece_text(std::uint32_t offset) {
    return "p" + std::to_string(offset) + ";";
}

/// What a plain proxy does: passes pieces on as they come, trusts every end mark, starts again from
/// the beginning and calls every failure "not run".
class naive_machine {
public:
    naive_machine(request_start start, request_timeouts /*timeouts*/, retry_allowance& retries)
        : start_(std::move(start)), retries_(retries), attempts_(start_.request) {}

    request_actions on_begin(time_point /*now*/) { return {choose_server{}}; }
    request_actions on_server_chosen(const backend_server_id& server,
                                     const failure_domain_id& domain, time_point /*now*/) {
        return {start_attempt{attempts_.begin(server, domain), server, piece_offset()}};
    }
    request_actions on_piece(const engine_piece& piece, time_point /*now*/) {
        return {deliver_piece{piece.offset, piece.text}};
    }
    request_actions on_attempt_ended(const attempt_id& /*attempt*/, const engine_result& result,
                                     time_point /*now*/) {
        attempts_.end(attempt_end::completed);
        if (result.outcome == engine_outcome::completed) {
            over_ = true;
            return {finish_answer{result.total, ""}};
        }
        if (retries_.try_spend()) {
            return {choose_server{}};
        }
        over_ = true;
        return {refuse_request{}};
    }
    request_actions on_waited(time_point /*now*/) { return {}; }
    request_actions on_tick(time_point /*now*/) { return {}; }
    request_actions on_server_leaving(bool /*other*/, time_point /*now*/) { return {}; }
    request_actions on_caller_gone() { return {}; }
    request_actions on_hand_over() { return {}; }
    request_actions on_hand_over_acked() { return {}; }
    request_actions on_hand_over_failed(time_point /*now*/) { return {}; }
    [[nodiscard]] bool is_over() const { return over_; }

private:
    request_start start_;
    retry_allowance& retries_;
    attempt_ledger attempts_;
    bool over_ = false;
};

/// Plays a script of events against a machine, with engines that know the true answer, and checks
/// each action against the plain statement of what callers were promised.
template <class Machine>
class script_player {
public:
    script_player()
        : retries_(3),
          machine_({request_id("r"), start_time + deadline_after, {}, 0, false}, {}, retries_) {}

    /// The first broken promise, or nothing.
    std::optional<std::string> play(const std::vector<std::uint8_t>& script) {
        carry_out(machine_.on_begin(now_));
        for (const std::uint8_t code : script) {
            if (violation_) {
                break;
            }
            step(code);
        }
        return violation_;
    }

private:
    static constexpr time_point start_time{micros(1'000'000)};

    void step(std::uint8_t code) {
        switch (code % 17) {
        case 0:
        case 1:
        case 2:
            return piece(current_, sent_, piece_text(sent_), true);
        case 3:
            return piece(current_, sent_ > 0 ? sent_ - 1 : 0, piece_text(sent_ > 0 ? sent_ - 1 : 0),
                         false);
        case 4:
            return piece(current_, sent_ + 1, piece_text(sent_ + 1), false);
        case 5:
            return piece(attempt_id("other.0"), sent_, "wrong answer", false);
        case 6:
            return piece(previous_, sent_, "late", false);
        case 7:
            return end(current_, engine_outcome::completed);
        case 8:
            return end(previous_, engine_outcome::completed);
        case 9:
            return end(current_, engine_outcome::interrupted);
        case 10:
            return end(current_,
                       sent_ > start_ ? engine_outcome::interrupted : engine_outcome::not_run);
        case 11:
            now_ += micros(4'000'000);
            return carry_out(machine_.on_tick(now_));
        case 12:
            now_ += micros(100'000);
            carry_out(machine_.on_tick(now_));
            return carry_out(machine_.on_waited(now_));
        case 13:
            return carry_out(machine_.on_server_leaving(true, now_));
        case 14:
            gone_ = true;
            return carry_out(machine_.on_caller_gone());
        case 15:
            return carry_out(machine_.on_hand_over());
        default:
            return code % 2 == 0 ? carry_out(machine_.on_hand_over_acked())
                                 : carry_out(machine_.on_hand_over_failed(now_));
        }
    }

    void piece(attempt_id attempt, std::uint32_t offset, std::string text, bool counts) {
        if (attempt.empty() || offset >= answer_pieces) {
            return;
        }
        if (attempt == current_) {
            may_have_run_ = true;
        }
        if (counts) {
            ++sent_;
        }
        carry_out(machine_.on_piece({attempt, piece_offset(offset), std::move(text)}, now_));
    }

    void end(attempt_id attempt, engine_outcome outcome) {
        if (attempt.empty()) {
            return;
        }
        engine_result result;
        result.outcome = outcome;
        result.total = piece_offset(answer_pieces);
        if (attempt == current_) {
            may_have_run_ = may_have_run_ || outcome != engine_outcome::not_run;
            close_current();
        }
        carry_out(machine_.on_attempt_ended(attempt, result, now_));
    }

    void carry_out(const request_actions& actions) {
        for (const request_action& action : actions) {
            if (over_ || gone_) {
                require(std::holds_alternative<end_attempt>(action), "action after the outcome");
            }
            std::visit([this](const auto& one) { apply(one); }, action);
        }
    }

    void apply(const choose_server& /*one*/) {
        const std::string name = std::to_string(servers_++);
        carry_out(machine_.on_server_chosen(backend_server_id("e" + name),
                                            failure_domain_id("d" + name), now_));
    }
    void apply(const wait_for_server& /*one*/) {}
    void apply(const start_attempt& one) {
        require(current_.empty(), "two attempts at once");
        require(now_ < start_time + deadline_after, "attempt past the deadline");
        require(one.start.value() == delivered_, "attempt does not go on where the answer ends");
        current_ = one.attempt;
        sent_ = start_ = one.start.value();
    }
    void apply(const end_attempt& one) {
        if (one.cancel) {
            require(one.attempt == current_, "cancels an attempt that does not run");
            may_have_run_ = true;
            close_current();
        }
    }
    void apply(const deliver_piece& one) {
        require(one.offset.value() == delivered_, "piece out of order");
        require(one.text == piece_text(delivered_), "piece of another answer");
        ++delivered_;
    }
    void apply(const finish_answer& /*one*/) {
        require(delivered_ == answer_pieces, "answer passed on as whole is not");
        over_ = true;
    }
    void apply(const refuse_request& one) {
        require(one.may_have_run || !may_have_run_, "refused as not run, but may have run");
        over_ = true;
    }
    void apply(const hand_over_request& /*one*/) {
        require(current_.empty(), "handed over while an attempt runs");
    }
    void apply(const tell_moved& /*one*/) { over_ = true; }

    void close_current() {
        previous_ = current_;
        current_ = attempt_id();
    }
    void require(bool holds, const char* promise) {
        if (!holds && !violation_) {
            violation_ = promise;
        }
    }

    counted_retries retries_;
    Machine machine_;
    time_point now_ = start_time;
    attempt_id current_;
    attempt_id previous_;
    std::uint32_t start_ = 0;
    std::uint32_t sent_ = 0;
    std::uint32_t delivered_ = 0;
    int servers_ = 0;
    bool may_have_run_ = false;
    bool over_ = false;
    bool gone_ = false;
    std::optional<std::string> violation_;
};

template <class Machine>
bool promises_hold(const std::string& name, bool quiet) {
    constexpr std::uint64_t seed = 20'261'203;
    constexpr int runs = 3'000;
    return fixed_seed_check(
        name, seed, runs,
        [](const std::vector<std::uint8_t>& script) {
            const auto violation = script_player<Machine>().play(script);
            if (violation) {
                RC_FAIL(*violation);
            }
        },
        quiet);
}

request_machine make_machine(retry_allowance& retries) {
    return {{request_id("r"), time_point(deadline_after), {}, 0, false}, {}, retries};
}

template <class Action>
const Action* find_action(const request_actions& actions) {
    for (const request_action& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

request_actions start_on(request_machine& machine, const std::string& server,
                         const std::string& domain, time_point now = time_point()) {
    return machine.on_server_chosen(backend_server_id(server), failure_domain_id(domain), now);
}

} // namespace

TEST_CASE("any order of events keeps the promises to callers") {
    CHECK(promises_hold<request_machine>("request machine", false));
}

TEST_CASE("a naive machine breaks the promises under the same events") {
    CHECK_FALSE(promises_hold<naive_machine>("naive machine", true));
}

TEST_CASE("a failed attempt goes on from its offset and avoids the failure domain") {
    counted_retries retries(0);
    request_machine machine = make_machine(retries);
    (void)machine.on_begin(time_point());
    const attempt_id first = find_action<start_attempt>(start_on(machine, "e1", "a"))->attempt;
    (void)machine.on_piece({first, piece_offset(0), "x"}, time_point());
    const auto actions = machine.on_attempt_ended(first, {}, time_point());
    const auto* choice = find_action<choose_server>(actions);
    REQUIRE(choice != nullptr);
    CHECK(choice->avoid_domain == failure_domain_id("a"));
    CHECK(choice->tried == std::vector<backend_server_id>{backend_server_id("e1")});
    const auto again = start_on(machine, "e2", "b");
    CHECK(find_action<start_attempt>(again)->start == piece_offset(1));
    CHECK(find_action<start_attempt>(again)->attempt != first);
}

TEST_CASE("an attempt without progress needs the retry budget") {
    counted_retries retries(1);
    request_machine machine = make_machine(retries);
    (void)machine.on_begin(time_point());
    engine_result result;
    result.outcome = engine_outcome::not_run;
    const attempt_id first = find_action<start_attempt>(start_on(machine, "e1", "a"))->attempt;
    CHECK(find_action<choose_server>(machine.on_attempt_ended(first, result, time_point())));
    const attempt_id second = find_action<start_attempt>(start_on(machine, "e2", "b"))->attempt;
    const auto actions = machine.on_attempt_ended(second, result, time_point());
    const auto* refusal = find_action<refuse_request>(actions);
    REQUIRE(refusal != nullptr);
    CHECK_FALSE(refusal->may_have_run);
}

TEST_CASE("a leaving server is left only when another can go on, and costs no retry") {
    counted_retries retries(0);
    request_machine machine = make_machine(retries);
    (void)machine.on_begin(time_point());
    (void)start_on(machine, "e1", "a");
    CHECK(machine.on_server_leaving(false, time_point()).empty());
    const auto actions = machine.on_server_leaving(true, time_point());
    REQUIRE(find_action<end_attempt>(actions) != nullptr);
    CHECK(find_action<end_attempt>(actions)->cancel);
    CHECK(find_action<choose_server>(actions) != nullptr);
}

TEST_CASE("a begun answer waits for a server, a new request does not") {
    counted_retries retries(0);
    request_machine fresh = make_machine(retries);
    (void)fresh.on_begin(time_point());
    CHECK(find_action<refuse_request>(fresh.on_no_server(millis{700}, time_point())) != nullptr);

    request_machine begun({request_id("r"), time_point(deadline_after), {"x"}, 1, true}, {},
                          retries);
    (void)begun.on_begin(time_point());
    CHECK(find_action<wait_for_server>(begun.on_no_server(millis{700}, time_point())) != nullptr);
    CHECK(find_action<choose_server>(begun.on_waited(time_point())) != nullptr);
}

TEST_CASE("the deadline ends a request at once as what may have run") {
    counted_retries retries(0);
    request_machine machine = make_machine(retries);
    (void)machine.on_begin(time_point());
    (void)start_on(machine, "e1", "a");
    const auto actions = machine.on_tick(time_point(deadline_after));
    REQUIRE(find_action<refuse_request>(actions) != nullptr);
    CHECK(find_action<refuse_request>(actions)->may_have_run);
    CHECK(find_action<end_attempt>(actions)->cancel);
    CHECK(machine.is_over());
}

TEST_CASE("pieces that cross are put in order and a torn answer is not whole") {
    answer_assembler answer;
    const attempt_id own("r.0");
    CHECK(answer.add({own, piece_offset(1), "b"}, own) == piece_verdict::early);
    CHECK_FALSE(answer.is_whole(piece_offset(0)));
    CHECK(answer.add({own, piece_offset(0), "a"}, own) == piece_verdict::accepted);
    CHECK(answer.text() == "ab");
    CHECK(answer.add({own, piece_offset(0), "a"}, own) == piece_verdict::repeated);
    CHECK(answer.add({own, piece_offset(0), "z"}, own) == piece_verdict::conflicting);
    CHECK(answer.add({attempt_id("q.0"), piece_offset(2), "c"}, own) == piece_verdict::foreign);
    CHECK(answer.is_whole(piece_offset(2)));
    CHECK_FALSE(answer.is_whole(piece_offset(3)));
}
