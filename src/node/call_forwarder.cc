#include "node/call_forwarder.h"

#include "node/leaving_answers.h"
#include "node/node_events.h"
#include "node/skipped_answers.h"

#include <utility>
#include <vector>

namespace jujubetide {
namespace {

/// Timeout for connecting to a server; shorter than the peer's own for the whole way.
constexpr micros connect_timeout{300'000};
constexpr int bad_gateway = 502;

void respond_without_answer(http1_exchange& exchange, forward_result result) {
    header_list headers;
    add_result(headers, result);
    exchange.respond(bad_gateway, headers, "");
}

} // namespace

class call_forwarder::forwarded_call final : public exchange_events,
                                             public call_events,
                                             public std::enable_shared_from_this<forwarded_call> {
public:
    forwarded_call(call_forwarder& owner, forward_order order, backend_server server,
                   std::shared_ptr<http1_exchange> exchange)
        : owner_(owner), state_(owner.state_), order_(std::move(order)), server_(std::move(server)),
          exchange_(std::move(exchange)) {}

    void begin(std::string request) {
        owner_.running_.insert(shared_from_this());
        state_.links.on_attempt_begun();
        call_options options;
        options.connect_timeout = connect_timeout;
        options.max_idle = order_.max_idle;
        options.correlation_id = order_.attempt_id;
        call_ = state_.client.call(server_.address, std::move(request), options, *this);
    }

    void break_off() { fail(forward_result::broken); }

protected:
    void do_caller_disconnected() override { end(); }
    void do_drained() override {
        if (call_) {
            call_->resume();
        }
    }
    [[nodiscard]] bool do_head(const response_head& head) override {
        state_.links.on_bytes();
        const response_fields fields = state_.codec.read_response(head);
        if (!fields.attempt_id.empty() && fields.attempt_id != order_.attempt_id) {
            log_skipped_answer(state_, order_.attempt_id, server_.id, fields, head);
            return false; // A late response to another call.
        }
        if (fields.attempt_id.empty()) {
            // It may be a copy of an answer to an earlier call, and the peer could not tell.
            state_.log.write(unnamed_answer_rejected, {{"id", order_.attempt_id},
                                                       {"server", server_.id.str()},
                                                       {"status", std::to_string(head.status)}});
            const auto self = shared_from_this();
            fail(forward_result::broken);
            return true;
        }
        apply_leaving_notice(state_, server_, fields);
        framing_ = head.framing;
        header_list headers = without_result(state_.codec.caller_headers(head));
        add_result(headers, forward_result::answered);
        const body_framing own_framing =
            framing_ == body_framing::until_close ? body_framing::chunked : framing_;
        has_head_ = true;
        exchange_->begin(head.status, headers, own_framing, head.content_length);
        return true;
    }
    void do_body(std::string_view bytes) override {
        state_.links.on_bytes();
        if (!has_head_ || bytes.empty()) {
            return;
        }
        has_body_ = true;
        exchange_->write(bytes);
        if (exchange_->is_backed_up() && call_) {
            call_->pause();
        }
    }
    void do_complete() override {
        const auto self = shared_from_this();
        if (!has_head_ || (framing_ == body_framing::until_close && !has_body_)) {
            fail(forward_result::broken);
            return;
        }
        exchange_->finish();
        end();
    }
    void do_failed(call_failure failure) override {
        const auto self = shared_from_this();
        if (failure == call_failure::not_connected) {
            state_.links.on_connect_failed();
            fail(forward_result::not_sent);
        } else {
            fail(forward_result::broken);
        }
    }

private:
    void fail(forward_result result) {
        if (exchange_ == nullptr) {
            return; // Ended before.
        }
        if (has_head_) {
            exchange_->abort();
        } else {
            respond_without_answer(*exchange_, result);
        }
        end();
    }
    void end() {
        const auto self = shared_from_this();
        call_.reset();
        exchange_.reset();
        if (owner_.running_.erase(self) > 0) {
            state_.links.on_attempt_ended();
        }
    }

    call_forwarder& owner_;
    serving_state& state_;
    forward_order order_;
    backend_server server_;
    std::shared_ptr<http1_exchange> exchange_;
    std::unique_ptr<http1_call> call_;
    body_framing framing_ = body_framing::none;
    bool has_head_ = false;
    bool has_body_ = false;
};

call_forwarder::~call_forwarder() {
    // Breaking off a call erases it from the set.
    const std::vector<std::shared_ptr<forwarded_call>> running(running_.begin(), running_.end());
    for (const auto& call : running) {
        call->break_off();
    }
}

std::shared_ptr<exchange_events> call_forwarder::forward(const request_head& head, std::string body,
                                                         std::shared_ptr<http1_exchange> exchange) {
    absl::StatusOr<forward_order> order = parse_forward_order(head.headers);
    if (!order.ok()) {
        state_.log.write(peer_message_rejected, {{"why", std::string(order.status().message())}});
        respond_without_answer(*exchange, forward_result::not_sent);
        return nullptr;
    }
    const backend_list::entry* server = state_.backends.find(order->server);
    if (state_.refuses_calls || state_.links.are_lost() || server == nullptr ||
        !state_.backends.may_get_calls(*server)) {
        respond_without_answer(*exchange, forward_result::not_sent);
        return nullptr;
    }
    state_.metrics.on_forward();
    auto call = std::make_shared<forwarded_call>(*this, *std::move(order), server->server,
                                                 std::move(exchange));
    call->begin(std::move(body));
    return call;
}

} // namespace jujubetide
