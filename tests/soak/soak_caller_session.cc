#include "soak/soak_caller_session.h"

#include "soak/soak_caller.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace jujubetide {
namespace {

constexpr millis connect_time{1'000};
constexpr millis longest_wait{4'000};
constexpr int max_retries = 3;

std::string route_of(const std::string& id) {
    return id.substr(0, id.find('.'));
}

bool may_repeat(const std::string& route) {
    return absl::StartsWith(route, "often") || absl::StartsWith(route, "resumed");
}

bool is_promise(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string chunked(const std::string& body, std::size_t size) {
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += size) {
        text += serialize_chunk(std::string_view(body).substr(at, size));
    }
    return text + std::string(last_chunk);
}

} // namespace

soak_caller_session::soak_caller_session(soak_caller& caller)
    : caller_(caller), parser_(message_parser::kind::response, *this) {
    timer_ = caller_.loop().once(millis(caller_.below(500)), [this] { connect(); });
}

soak_caller_session::~soak_caller_session() {
    if (connection_) {
        connection_->close();
    }
}

void soak_caller_session::connect() {
    if (caller_.is_stopping()) {
        return;
    }
    node_ = caller_.some_node();
    is_connected_ = false;
    parser_.restart();
    connection_ = tcp_connection::connect(caller_.loop(), node_, *this);
    giving_up_ = caller_.loop().once(connect_time, [this] {
        if (!is_connected_) {
            leave(micros{0}, true);
        }
    });
}

void soak_caller_session::leave(micros pause, bool resets) {
    fail_waiting();
    unsent_.clear();
    writing_.reset();
    leaving_.reset();
    if (const auto left = std::exchange(connection_, nullptr)) {
        if (resets) {
            left->reset();
        } else {
            left->close();
        }
    }
    timer_ = caller_.loop().once(pause, [this] { connect(); });
}

void soak_caller_session::do_connected() {
    is_connected_ = true;
    begin_requests();
}

void soak_caller_session::begin_requests() {
    if (caller_.is_stopping()) {
        return;
    }
    if (!retried_route_.empty()) {
        send(std::exchange(retried_route_, ""));
        return;
    }
    retries_ = 0;
    send(caller_.some_route());
    if (caller_.chance(2)) { // Two in a row without waiting.
        send(caller_.some_route());
    }
    if (caller_.chance(4)) {
        leaving_ = caller_.loop().once(millis(caller_.below(80)),
                                       [this] { leave(micros{0}, caller_.chance(50)); });
    }
}

std::size_t soak_caller_session::body_size() {
    const std::uint64_t choice = caller_.below(100);
    if (choice < 2) { // More than the buffers of a connection hold.
        return 1'000'000 + caller_.below(4'000'000);
    }
    return choice < 15 ? 60'000 + caller_.below(40'000) : caller_.below(400);
}

std::string soak_caller_session::request_of(const std::string& route, const std::string& id) {
    header_list headers;
    headers.add("Host", "h.example");
    headers.add("X-Attempt-Id", id);
    headers.add("Authorization", caller_.chance(10) ? "Token small-key" : "Token key");
    headers.add("X-Deadline-Ms",
                std::to_string(caller_.chance(10) ? 30 + caller_.below(300) : 3'000));
    if (absl::StartsWith(route, "stream") || absl::StartsWith(route, "resumed")) {
        headers.add("X-Model", "m");
        headers.add("X-Token-Usage", "200,20");
        headers.add("X-Prompt-Prefix", absl::StrCat("5c1e07a2:100,", caller_.below(1'000), ":100"));
    }
    const std::string body(caller_.chance(15) ? 60'000 + caller_.below(40'000) : caller_.below(400),
                           'q');
    const std::string target = "/" + route + "/x";
    if (caller_.chance(10)) {
        return serialize_request("GET", target, headers, "");
    }
    if (caller_.chance(40)) {
        headers.add("Transfer-Encoding", "chunked");
        std::string head = absl::StrCat("POST ", target, " HTTP/1.1\r\n");
        for (const auto& [name, value] : headers.fields()) {
            absl::StrAppend(&head, name, ": ", value, "\r\n");
        }
        return head + "\r\n" + chunked(body, 1 + caller_.below(8'000));
    }
    return serialize_request("POST", target, headers, body);
}

void soak_caller_session::send(const std::string& route) {
    const std::string id = caller_.next_id(route);
    waiting_.push_back(id);
    unsent_ += request_of(route, id);
    caller_.report(absl::StrCat("sent ", id, " node ", node_.str()));
    giving_up_ = caller_.loop().once(longest_wait, [this] { leave(micros{0}, true); });
    write_rest();
}

void soak_caller_session::write_rest() {
    if (!connection_ || unsent_.empty()) {
        return;
    }
    const std::size_t size =
        caller_.chance(70) ? unsent_.size() : 1 + caller_.below(unsent_.size());
    connection_->write(std::string_view(unsent_).substr(0, size));
    unsent_.erase(0, size);
    if (!unsent_.empty()) {
        const std::uint64_t longest_ms = caller_.chance(10) ? 3'000 : 20;
        writing_ = caller_.loop().once(millis(caller_.below(longest_ms)), [this] { write_rest(); });
        return;
    }
    if (caller_.chance(2)) {
        connection_->finish_sending();
    }
}

void soak_caller_session::do_response_head(response_head head) {
    head_ = std::move(head);
}

void soak_caller_session::do_data(std::string_view bytes) {
    while (!bytes.empty() && connection_) {
        const std::size_t fed = parser_.feed(bytes);
        bytes.remove_prefix(std::min(fed, bytes.size()));
        if (parser_.state() == parse_state::malformed) {
            caller_.report(absl::StrCat("malformed ", waiting_.empty() ? "-" : waiting_.front(),
                                        " node ", node_.str()));
            leave(micros{0}, true);
            return;
        }
        if (parser_.state() != parse_state::complete) {
            return;
        }
        take_answer();
    }
}

void soak_caller_session::take_answer() {
    if (waiting_.empty()) {
        caller_.report(absl::StrCat("unasked ", head_.status, " node ", node_.str()));
        leave(micros{0}, true);
        return;
    }
    const std::string id = waiting_.front();
    waiting_.pop_front();
    caller_.report(absl::StrCat("answer ", id, " status ", head_.status, " node ", node_.str()));
    if (head_.status / 100 == 2) {
        check_success(id);
    }
    const bool is_failure = head_.status >= 500 && may_repeat(route_of(id));
    const int status = head_.status;
    const std::string retry_after(head_.headers.find("Retry-After").value_or("0"));
    const bool keeps = head_.keep_alive;
    body_.clear();
    parser_.restart();
    if (is_promise(status) || is_failure) {
        double seconds = 0;
        (void)absl::SimpleAtod(retry_after, &seconds);
        retry_later(id, micros(static_cast<std::int64_t>(std::min(seconds, 0.5) * 1e6)));
    } else if (!keeps || caller_.chance(5)) {
        leave(micros{0}, false);
    } else if (waiting_.empty() && unsent_.empty()) {
        giving_up_.reset();
        timer_ = caller_.loop().once(millis(caller_.below(caller_.chance(80) ? 30 : 800)),
                                     [this] { begin_requests(); });
    }
}

void soak_caller_session::check_success(const std::string& id) const {
    const std::string proof(head_.headers.find("X-Upstream-Signature").value_or(""));
    const std::string named(head_.headers.find("X-Attempt-Id").value_or(""));
    bool is_own = proof == id && named == id;
    bool is_whole = true;
    if (body_.starts_with("id: ")) {
        for (const absl::string_view line : absl::StrSplit(body_, '\n')) {
            is_own = is_own &&
                     (!absl::StartsWith(line, "data: ") || absl::StartsWith(line, "data: " + id));
        }
        is_whole = absl::EndsWith(body_, absl::StrCat(id, " end\n\n"));
    } else {
        is_own = is_own && body_.starts_with(id.substr(0, body_.size()));
        is_whole = absl::EndsWith(body_, ":end");
    }
    if (!is_own || !is_whole) {
        caller_.report(absl::StrCat(is_own ? "short " : "mixed ", id, " proof ", proof, " id ",
                                    named, " body of ", body_.size(), " node ", node_.str()));
    }
}

void soak_caller_session::retry_later(const std::string& id, micros pause) {
    if (++retries_ <= max_retries) {
        retried_route_ = route_of(id);
    }
    leave(pause, false);
}

void soak_caller_session::fail_waiting() {
    body_.clear();
    for (const std::string& id : std::exchange(waiting_, {})) {
        caller_.report(absl::StrCat("broken ", id, " node ", node_.str()));
        if (may_repeat(route_of(id)) && ++retries_ <= max_retries) {
            retried_route_ = route_of(id);
        }
    }
}

void soak_caller_session::do_end(connection_end end) {
    if (end == connection_end::closed && !waiting_.empty()) {
        parser_.feed_eof();
        if (parser_.state() == parse_state::complete && parser_.has_begun()) {
            take_answer();
            if (!connection_) {
                return;
            }
        }
    }
    leave(millis(20 + caller_.below(80)), false);
}

} // namespace jujubetide
