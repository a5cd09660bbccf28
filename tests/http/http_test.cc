#include "jujubetide/http/http_client.h"
#include "jujubetide/http/http_server.h"
#include "jujubetide/http/problem.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace jujubetide;

TEST_CASE("a problem names its outcome and when to come back") {
    const auto server = http_server::make({}, [](httplib::Server& routes) {
        routes.Get("/full", [](const httplib::Request&, httplib::Response& response) {
            problem error;
            error.status = 503;
            error.code = "no_server";
            error.retry_after = millis{1'200};
            set_problem(response, error);
        });
    });
    REQUIRE(server.ok());
    const auto answer = http_call((*server)->address(), "GET", "/full", "", {});
    REQUIRE(answer.ok());
    CHECK(answer->status == 503);
    CHECK(answer->content_type == "application/problem+json");
    CHECK(answer->headers.at("Retry-After") == "2");
    CHECK(nlohmann::json::parse(answer->body)["outcome"] == "not_run");
}

TEST_CASE("a call to a closed port was certainly not received") {
    endpoint closed;
    {
        const auto server = http_server::make({}, [](httplib::Server&) {});
        REQUIRE(server.ok());
        closed = (*server)->address();
    }
    CHECK(http_call(closed, "GET", "/", "", {}).status().code() == absl::StatusCode::kUnavailable);
}

TEST_CASE("a burst of connections is accepted without a lost handshake") {
    const auto server = http_server::make({}, [](httplib::Server&) {});
    REQUIRE(server.ok());
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons((*server)->address().port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int burst = 300;
    std::vector<pollfd> sockets;
    for (int i = 0; i < burst; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        sockets.push_back({socket, POLLOUT, 0});
    }
    // A lost handshake is repeated after one second; those that are not lost need no time.
    constexpr int less_than_repetition_ms = 800;
    int connected = 0;
    for (pollfd& one : sockets) {
        connected += ::poll(&one, 1, connected == 0 ? less_than_repetition_ms : 0) == 1 ? 1 : 0;
        ::close(one.fd);
    }
    CHECK(connected == burst);
}
