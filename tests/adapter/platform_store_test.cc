#include "platform/platform_store.h"
#include "support/loop_runner.h"

#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/http1/http1_server.h"
#include "jujubetide/net/event_loop.h"

#include <catch2/catch.hpp>

using namespace jujubetide;

namespace {

/// Answers each call to the store with one status and, if it is not empty, one era.
class era_server final : public http1_handler {
public:
    era_server(event_loop& loop, const jujubetide::clock& time)
        : server_(*http1_server::make(loop, time, {"127.0.0.1", 0}, *this)) {}
    [[nodiscard]] const endpoint& address() const { return server_->address(); }

    int status = 200;
    std::string era;

protected:
    std::shared_ptr<exchange_events> do_request(request_head, std::string, time_point,
                                                std::shared_ptr<http1_exchange> exchange) override {
        header_list headers;
        if (!era.empty()) {
            headers.add("Store-Era", era);
        }
        exchange->respond(status, headers, R"({"ver": 5, "rows": []})");
        return nullptr;
    }
    [[nodiscard]] std::string do_error_body(int) const override { return "{}"; }

private:
    std::unique_ptr<http1_server> server_;
};

struct store_fixture {
    /// The result of a read that gets this answer.
    absl::StatusOr<row_batch> read(int status, const std::string& era) {
        server.status = status;
        server.era = era;
        std::optional<absl::StatusOr<row_batch>> result;
        store.read("t", "", [&result](const auto& batch) { result = batch; });
        REQUIRE(run_until(loop, [&result] { return result.has_value(); }));
        return *result;
    }
    absl::StatusOr<row_version> commit(int status, const std::string& era) {
        server.status = status;
        server.era = era;
        std::optional<absl::StatusOr<row_version>> result;
        store.commit({}, [&result](const auto& version) { result = version; });
        REQUIRE(run_until(loop, [&result] { return result.has_value(); }));
        return *result;
    }

    event_loop loop;
    boot_clock time;
    era_server server{loop, time};
    http1_client client{loop, time};
    platform::platform_store store{client, server.address()};
};

} // namespace

TEST_CASE("every answer of the store tells its era") {
    store_fixture fixture;
    CHECK_FALSE(fixture.store.era());
    CHECK(fixture.read(200, "3")->position() == store_position{store_era(3), row_version(5)});
    CHECK(fixture.store.era() == store_era(3));
    for (const int status : {410, 412, 429, 503}) {
        const store_era next = fixture.store.era()->next();
        CHECK_FALSE(fixture.read(status, std::to_string(next.value())).ok());
        CHECK(fixture.store.era() == next);
    }
    CHECK(fixture.commit(200, "8").ok());
    CHECK(fixture.store.era() == store_era(8));
    CHECK(fixture.read(200, "7")->era == store_era(7)); // Answered before the restore.
    CHECK(fixture.store.era() == store_era(8));
}

TEST_CASE("an answer of the store without an era is usable, one with a malformed era is not") {
    store_fixture fixture;
    CHECK(fixture.read(200, "")->era == store_era());
    for (const char* era : {"-1", "x", "1.5", "99999999999999999999999"}) {
        CHECK(absl::IsDeadlineExceeded(fixture.read(200, era).status()));
        CHECK(absl::IsDeadlineExceeded(fixture.commit(200, era).status()));
    }
    CHECK(fixture.store.era() == store_era());
}
