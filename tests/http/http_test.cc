#include "support/eventually.h"
#include "support/raw_call.h"

#include "jujubetide/http/http_client.h"
#include "jujubetide/http/http_server.h"
#include "jujubetide/http/problem.h"

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <mutex>
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

TEST_CASE("what the server refuses itself is answered by a problem at once") {
    struct refused {
        std::string name;
        std::string bytes;
        std::string status;
        std::string code;
    };
    http_server_options options;
    options.max_body_bytes = 1'000;
    options.read_timeout = millis{100};
    const auto server = http_server::make(options, [](httplib::Server& routes) {
        routes.Post("/take", [](const httplib::Request& request, httplib::Response& response) {
            response.set_content(request.body, "text/plain");
        });
    });
    REQUIRE(server.ok());
    const std::string post = "POST /take HTTP/1.1\r\nHost: x\r\n";
    const std::vector<refused> calls{
        {"no HTTP", "nonsense\r\n\r\n", "400", "bad_request"},
        {"unknown method", "BREW /take HTTP/1.1\r\n\r\n", "400", "bad_request"},
        {"unknown path", "GET /nothing HTTP/1.1\r\n\r\n", "404", "unknown_path"},
        {"a head that does not end", post, "408", "slow_request"},
        {"a body that does not end", post + "Content-Length: 9\r\n\r\nhalf", "408", "slow_request"},
        {"a large body", post + "Content-Length: 1001\r\n\r\n" + std::string(1'001, 'x'), "413",
         "body_too_large"},
        // None of the body ever comes: the answer may not wait for it.
        {"a very large body", post + "Content-Length: 99999999999\r\n\r\n", "413",
         "body_too_large"},
        {"a large body of unstated length",
         post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2'000, 'x') +
             "\r\n0\r\n\r\n",
         "411", "length_required"},
        {"a compressed body", post + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab", "415",
         "encoded_body"},
    };
    for (const refused& call : calls) {
        INFO(call.name);
        const std::string answer = raw_call((*server)->address(), call.bytes);
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + call.status + " "));
        CHECK_THAT(answer, Catch::Contains("application/problem+json"));
        const std::size_t body = answer.find("\r\n\r\n");
        REQUIRE(body != std::string::npos);
        const auto problem = nlohmann::json::parse(answer.substr(body + 4), nullptr, false);
        REQUIRE(problem.is_object());
        CHECK(problem["code"] == call.code);
        CHECK(problem["outcome"] == "not_run");
    }
    const auto taken =
        http_call((*server)->address(), "POST", "/take", std::string(1'000, 'x'), {});
    REQUIRE(taken.ok());
    CHECK(taken->status == 200);
    CHECK(taken->body.size() == 1'000);
}

TEST_CASE("each answer is told with its method and status") {
    std::mutex mutex;
    std::vector<std::string> told;
    // Checked on the test's own thread: Catch's checks are not for several threads.
    std::vector<micros> latencies;
    http_server_options options;
    options.on_answer = [&](const std::string& method, int status, micros latency) {
        const std::lock_guard lock(mutex);
        told.push_back(method + " " + std::to_string(status));
        latencies.push_back(latency);
    };
    const auto server = http_server::make(options, [](httplib::Server& routes) {
        routes.Get("/known", [](const httplib::Request&, httplib::Response& response) {
            response.set_content("x", "text/plain");
        });
    });
    REQUIRE(server.ok());
    const auto count = [&] {
        const std::lock_guard lock(mutex);
        return told.size();
    };
    // An answer may be told after its caller has it.
    REQUIRE(http_call((*server)->address(), "GET", "/known", "", {}).ok());
    REQUIRE(eventually([&] { return count() == 1; }));
    REQUIRE(http_call((*server)->address(), "POST", "/known", "x", {}).ok());
    (*server)->stop();
    CHECK(told == std::vector<std::string>{"GET 200", "POST 404"});
    for (const micros latency : latencies) {
        CHECK(latency >= micros{0});
    }
}
