#include "jujubetide/peer/nghttp2_peer_link.h"

#include "peer/peer_loop.h"

namespace jujubetide {

nghttp2_peer_link::nghttp2_peer_link(std::unique_ptr<loop> made) : loop_(std::move(made)) {}

nghttp2_peer_link::~nghttp2_peer_link() = default;

absl::StatusOr<std::unique_ptr<nghttp2_peer_link>>
nghttp2_peer_link::make(const endpoint& listen, const node_id& self,
                        const peer_link_options& options) {
    auto listener = listen_on(listen);
    if (!listener.ok()) {
        return listener.status();
    }
    auto wake = make_pipe();
    if (!wake.ok()) {
        return wake.status();
    }
    auto made = std::make_unique<loop>(*std::move(listener), *std::move(wake), self, options);
    made->start();
    return std::unique_ptr<nghttp2_peer_link>(new nghttp2_peer_link(std::move(made)));
}

endpoint nghttp2_peer_link::listening() const {
    return local_endpoint(loop_->listener()).value_or(endpoint{});
}

std::vector<peer_traffic> nghttp2_peer_link::do_traffic() const {
    return loop_->counters().list();
}

void nghttp2_peer_link::stop() {
    loop_->stop();
}

absl::Status nghttp2_peer_link::do_send(const endpoint& peer, peer_message_kind kind,
                                        std::string body) {
    return loop_->enqueue(peer, {kind, std::move(body), nullptr});
}

absl::StatusOr<std::string> nghttp2_peer_link::do_call(const endpoint& peer, peer_message_kind kind,
                                                       std::string body, millis timeout) {
    const auto call = std::make_shared<pending_call>();
    const absl::Status queued = loop_->enqueue(peer, {kind, std::move(body), call});
    if (!queued.ok()) {
        return queued;
    }
    return call->wait(timeout);
}

void nghttp2_peer_link::do_set_handler(peer_message_kind kind, handler function) {
    loop_->set_handler(kind, std::move(function));
}

} // namespace jujubetide
