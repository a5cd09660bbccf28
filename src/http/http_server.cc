#include "jujubetide/http/http_server.h"

#include "jujubetide/edge/shared_memory_share.h"
#include "jujubetide/http/problem.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <chrono>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace jujubetide {
namespace {

/// Connections that may wait to be accepted.
constexpr int listen_backlog = 1'024;

/// A body that is too large by less than this factor is read and dropped by the library, so that
/// its sender reads the refusal on a sound connection.
constexpr std::size_t skipped_body_factor = 2;

/// Copies of a request's body that a handler and the call that it makes keep at the same time.
constexpr std::size_t body_copies = 4;

/// When callers whose request there is no memory for may return.
constexpr millis memory_retry{500};

using steady = std::chrono::steady_clock;

/// When the head of the request that this thread answers had come. The library tells it to no
/// handler, and answers each request on one thread.
thread_local std::optional<steady::time_point> head_read;

/// Accounts for the memory of the request that this thread answers.
thread_local std::vector<std::shared_ptr<const void>> kept_memory;

micros since_head() {
    return head_read ? std::chrono::duration_cast<micros>(steady::now() - *head_read) : micros{0};
}

problem make_error(int status, std::string code, std::string detail) {
    problem error;
    error.status = status;
    error.code = std::move(code);
    error.detail = std::move(detail);
    return error;
}

problem too_large() {
    return make_error(413, "body_too_large", "the body is too large");
}

/// The library answers 400 both to malformed and to unfinished requests.
bool is_unfinished(const httplib::Request& request, millis read_timeout) {
    const bool head_began = !request.path.empty();
    return head_read ? since_head() >= read_timeout : head_began;
}

/// Gives the statuses that the library sets itself a problem as the body.
void explain_status(const httplib::Request& request, httplib::Response& response,
                    millis read_timeout) {
    if (!response.body.empty() || response.content_length_ > 0) {
        return;
    }
    switch (response.status) {
    case 400:
        if (is_unfinished(request, read_timeout)) {
            return set_problem(response, make_error(408, "slow_request", "sent too slowly"));
        }
        return set_problem(response, make_error(400, "bad_request", "not a whole HTTP request"));
    case 404:
        return set_problem(response, make_error(404, "unknown_path", "no such path"));
    case 413:
        return set_problem(response, too_large());
    default:
        return set_problem(response, make_error(response.status, "error", "not answered"));
    }
}

/// Why a body may not be read; accounts for the memory of one that may. The library holds neither a
/// body of unstated length nor a compressed one, once it is unpacked, to the limit.
std::optional<problem> admit_body(const httplib::Request& request, std::size_t most) {
    if (request.has_header("Transfer-Encoding")) {
        return make_error(411, "length_required", "the body needs a Content-Length");
    }
    if (request.has_header("Content-Encoding")) {
        return make_error(415, "encoded_body", "the body may not be compressed");
    }
    std::uint64_t length = 0;
    if (!absl::SimpleAtoi(request.get_header_value("Content-Length"), &length)) {
        return std::nullopt;
    }
    if (length / skipped_body_factor > most) {
        return too_large();
    }
    auto memory = std::make_shared<shared_memory_share>(memory_use::traffic);
    if (length <= most && !memory->resize(body_copies * length)) {
        problem error = make_error(503, "node_memory", "no memory for the body now");
        error.retry_after = memory_retry;
        return error;
    }
    keep_until_answered(std::move(memory));
    return std::nullopt;
}

/// Answers and has the library close the connection, since the body that follows is not read.
void refuse_body(httplib::Response& response, const problem& error) {
    set_problem(response, error);
    const std::string body = response.body;
    response.body.clear();
    response.headers.erase("Content-Type");
    response.set_header("Connection", "close");
    response.set_content_provider(
        body.size(), "application/problem+json",
        [body](std::size_t /*offset*/, std::size_t /*length*/, httplib::DataSink& sink) {
            sink.write(body.data(), body.size());
            return false;
        });
}

void set_own_answers(httplib::Server& server, const http_server_options& options) {
    server.set_error_handler(
        httplib::Server::Handler([limit = options.read_timeout](const httplib::Request& request,
                                                                httplib::Response& response) {
            explain_status(request, response, limit);
        }));
    server.set_pre_routing_handler([most = options.max_body_bytes](const httplib::Request& request,
                                                                   httplib::Response& response) {
        head_read = steady::now();
        kept_memory.clear();
        if (const auto error = admit_body(request, most)) {
            refuse_body(response, *error);
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    server.set_logger([told = options.on_answer](const httplib::Request& request,
                                                 const httplib::Response& response) {
        if (told) {
            told(request.method, response.status, since_head());
        }
        head_read.reset();
        kept_memory.clear();
    });
}

} // namespace

void keep_until_answered(std::shared_ptr<const void> memory) {
    kept_memory.push_back(std::move(memory));
}

struct http_server::implementation {
    httplib::Server server;
    endpoint address;
    std::thread thread;
};

absl::StatusOr<std::unique_ptr<http_server>>
http_server::make(const http_server_options& options,
                  const std::function<void(httplib::Server&)>& add_routes) {
    auto parts = std::make_unique<implementation>();
    httplib::Server& server = parts->server;
    server.new_task_queue = [threads = options.threads] {
        return new httplib::ThreadPool(threads); // NOLINT(cppcoreguidelines-owning-memory)
    };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(options.max_body_bytes);
    server.set_read_timeout(options.read_timeout);
    server.set_keep_alive_timeout(
        std::chrono::ceil<std::chrono::seconds>(options.keep_alive).count());
    server.set_keep_alive_max_count(1'000'000);
    set_own_answers(server, options);
    add_routes(server);
    int listening = -1;
    server.set_socket_options([&listening](int socket) {
        listening = socket;
        httplib::default_socket_options(socket);
    });

    parts->address = options.listen;
    if (options.listen.port == 0) {
        const int port = server.bind_to_any_port(options.listen.address);
        if (port <= 0) {
            return absl::UnavailableError(
                absl::StrCat("cannot listen on ", options.listen.address));
        }
        parts->address.port = static_cast<std::uint16_t>(port);
    } else if (!server.bind_to_port(options.listen.address, options.listen.port)) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", options.listen.str()));
    }
    // The library lets five connections wait, too few for a burst of callers.
    ::listen(listening, listen_backlog);
    parts->thread = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running()) {
        std::this_thread::yield();
    }
    return std::unique_ptr<http_server>(new http_server(std::move(parts)));
}

http_server::http_server(std::unique_ptr<implementation> parts) : parts_(std::move(parts)) {}

http_server::~http_server() {
    stop();
}

const endpoint& http_server::address() const {
    return parts_->address;
}

void http_server::stop() {
    parts_->server.stop();
    if (parts_->thread.joinable()) {
        parts_->thread.join();
    }
}

} // namespace jujubetide
