#pragma once

#include "support/fake_row_store.h"

#include "jujubetide/http1/http1_server.h"

#include <memory>
#include <string>
#include <utility>

namespace jujubetide {

/// Serves a fake row store over the platform's HTTP interface, on the test's loop.
class row_store_server final : public http1_handler {
public:
    row_store_server(event_loop& loop, const clock& time, fake_row_store& store);
    [[nodiscard]] const endpoint& address() const { return server_->address(); }
    /// From now on, each call gets this body, with status 200, in place of the store's answer; an
    /// empty one ends that.
    void answer_with(std::string body) { fixed_body_ = std::move(body); }

protected:
    std::shared_ptr<exchange_events> do_request(request_head head, std::string body, time_point,
                                                std::shared_ptr<http1_exchange> exchange) override;
    [[nodiscard]] std::string do_error_body(int) const override { return "{}"; }

private:
    void commit(const std::string& body, const std::shared_ptr<http1_exchange>& exchange);

    fake_row_store& store_;
    std::string fixed_body_;
    std::unique_ptr<http1_server> server_;
};

} // namespace jujubetide
