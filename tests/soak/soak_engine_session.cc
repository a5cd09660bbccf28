#include "soak/soak_engine_session.h"

#include "soak/soak_engine.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace jujubetide {
namespace {

constexpr std::size_t long_body = 20'000;
constexpr std::size_t max_kept_answers = 4;
constexpr std::uint64_t longest_run_ms = 40;
constexpr std::uint64_t longest_gap_ms = 30;
constexpr std::uint64_t longest_pause_ms = 600;
/// Some runs outlast the time that is left for the request.
constexpr std::uint64_t longest_stall_ms = 5'000;

std::string text_of(const header_list& headers, std::string_view name) {
    return std::string(headers.find(name).value_or(""));
}

std::string status_line(int status) {
    return absl::StrCat("HTTP/1.1 ", status, " ", std::string(reason_phrase(status)), "\r\n");
}

std::string id_line(const std::string& attempt) {
    return absl::StrCat("X-Attempt-Id: ", attempt, "\r\n");
}

} // namespace

soak_engine_session::soak_engine_session(soak_engine& engine,
                                         std::shared_ptr<tcp_connection> connection)
    : engine_(engine), connection_(std::move(connection)),
      parser_(message_parser::kind::request, *this) {
    connection_->set_events(*this);
    wait_idle();
}

soak_engine_session::~soak_engine_session() {
    connection_->close();
}

void soak_engine_session::write(std::string_view bytes) {
    if (is_open_) {
        connection_->write(bytes);
    }
}

void soak_engine_session::shut(bool resets) {
    if (!std::exchange(is_open_, false)) {
        return;
    }
    if (resets) {
        connection_->reset();
    } else {
        connection_->close();
    }
}

void soak_engine_session::wait_idle() {
    timer_ = engine_.loop().once(engine_.settings().idle, [this] { shut(false); });
}

void soak_engine_session::do_data(std::string_view bytes) {
    buffer_.append(bytes);
    read_requests();
}

void soak_engine_session::read_requests() {
    while (is_open_ && !buffer_.empty() && !is_read_) {
        const std::size_t fed = parser_.feed(buffer_);
        buffer_.erase(0, std::min(fed, buffer_.size()));
        if (parser_.state() == parse_state::malformed) {
            shut(true);
            return;
        }
        if (parser_.state() != parse_state::complete) {
            return;
        }
        is_read_ = true;
        if (stage_ == stage::idle) {
            decide();
        } else if (stage_ == stage::answered) {
            end_request();
        }
    }
}

void soak_engine_session::do_request_head(request_head head) {
    head_ = std::move(head);
    attempt_ = text_of(head_.headers, "X-Attempt-Id");
    timer_.reset();
    const bool is_long = head_.chunked || head_.content_length.value_or(0) > long_body;
    if (is_long && !attempt_.empty() && engine_.chance(30)) {
        if (engine_.chance(30)) {
            connection_->pause_reading();
            pause_ = engine_.loop().once(millis(engine_.below(longest_pause_ms)), [this] {
                if (is_open_) {
                    connection_->resume_reading();
                }
            });
        }
        decide(); // The answer may come before the body has been read.
    }
}

void soak_engine_session::decide() {
    if (attempt_.empty()) {
        answer_own_path();
        return;
    }
    write_late_copy();
    const std::string expected = text_of(head_.headers, "X-Expect-Instance");
    if (!expected.empty() && expected != engine_.settings().id) {
        refuse(421);
    } else if (engine_.is_full() || engine_.chance(engine_.settings().refusals_percent)) {
        refuse(engine_.chance(85) ? 503 : 429);
    } else {
        stage_ = stage::waiting;
        std::uint64_t limit = 0;
        if (absl::SimpleAtoi(text_of(head_.headers, "X-Deadline-Ms"), &limit)) {
            deadline_ = engine_.loop().once(millis(limit), [this] { end_waiting(); });
        }
        engine_.admit(*this);
    }
}

void soak_engine_session::end_waiting() {
    if (stage_ == stage::waiting) {
        engine_.withdraw(*this);
        refuse(503);
    } else if (stage_ == stage::running) {
        if (next_event_ > 0) {
            timer_.reset();
            shut(true);
            end_request();
        } else {
            write_answer(504, "late");
        }
    }
}

void soak_engine_session::write_late_copy() {
    if (answers_.empty() || !engine_.chance(engine_.settings().copies_percent)) {
        return;
    }
    const past_answer& chosen =
        engine_.chance(60) ? answers_.back() : answers_[engine_.below(answers_.size())];
    if (engine_.settings().own_copies || chosen.attempt != attempt_) {
        write_copy(chosen);
    }
}

void soak_engine_session::write_copy(const past_answer& answer) {
    const bool is_named = engine_.chance(70);
    engine_.report(absl::StrCat("copy ", answer.attempt, " before ", attempt_, " engine ",
                                engine_.settings().id, is_named ? " named" : " unnamed"));
    write(is_named ? answer.named : answer.unnamed);
}

void soak_engine_session::answer_own_path() {
    attempt_ = "-";
    write_late_copy();
    const bool is_refused = engine_.is_full() || engine_.chance(2);
    const bool is_report = absl::StartsWith(head_.target, "/v1/report");
    const std::string body =
        is_report ? R"({"stage":"unified","models":[],"busy":false,"sequence":1,"queued":0,)"
                    R"("running":0,"kvUsed":0,"kvTotal":90000,"handles":0})"
                  : "ok";
    const std::string text =
        is_refused
            ? status_line(503) + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            : absl::StrCat(status_line(200), "X-Instance-Id: ", engine_.settings().id,
                           "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                           "\r\n\r\n", body);
    write(text);
    keep(text, text, is_refused);
    end_request();
}

void soak_engine_session::refuse(int status) {
    deadline_.reset();
    closes_ = engine_.chance(5);
    const std::string start = status_line(status) + "X-Not-Executed: 1\r\n" +
                              (engine_.chance(20) ? "Retry-After: 0.05\r\n" : "");
    const std::string end = std::string(closes_ ? "Connection: close\r\n" : "") +
                            (engine_.chance(50) ? "Content-Length: 0\r\n\r\n"
                                                : "Transfer-Encoding: chunked\r\n\r\n"
                                                  "4\r\nfull\r\n0\r\n\r\n");
    const std::string named = start + id_line(attempt_) + end;
    engine_.report(absl::StrCat("refused ", attempt_, " engine ", engine_.settings().id, " at ",
                                engine_.settings().listen.str(), " status ", status));
    write(engine_.chance(90) ? named : start + end);
    keep(named, start + end, true);
    end_request();
}

void soak_engine_session::run() {
    if (!is_open_ && engine_.settings().drops) {
        stage_ = stage::idle;
        engine_.release();
        return;
    }
    stage_ = stage::running;
    holds_slot_ = true;
    next_event_ = 0;
    engine_.report(absl::StrCat("run ", attempt_, " engine ", engine_.settings().id, " at ",
                                engine_.settings().listen.str()));
    if (engine_.chance(1)) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (engine_.settings().streams) {
        timer_ =
            engine_.loop().once(millis(engine_.below(longest_run_ms)), [this] { begin_stream(); });
    } else {
        timer_ = engine_.loop().once(millis(engine_.below(longest_run_ms)), [this] { answer(); });
    }
}

void soak_engine_session::answer() {
    if (answer_faultily()) {
        return;
    }
    // Without `X-Not-Executed`, no status says that the request has not run.
    static constexpr std::array<int, 5> failures{500, 500, 503, 429, 408};
    write_answer(engine_.chance(3) ? failures[engine_.below(failures.size())] : 200,
                 absl::StrCat(attempt_, ":", std::string(engine_.below(3'000), 'b'), ":end"));
}

bool soak_engine_session::answer_faultily() {
    if (engine_.below(1'000) >= engine_.settings().faults_permille) {
        return false;
    }
    deadline_.reset();
    const std::string start = absl::StrCat(status_line(200), "X-Upstream-Signature: ", attempt_,
                                           "\r\n", id_line(attempt_));
    switch (engine_.below(6)) {
    case 0: // Truncated.
        write(start + "Content-Length: 500\r\n\r\nhalf");
        shut(false);
        break;
    case 1: // Reset in the middle.
        write(start + "Content-Length: 500\r\n\r\nhalf");
        shut(true);
        break;
    case 2: // No answer.
        shut(engine_.chance(50));
        break;
    case 3:
        write("\x01\x02no answer\r\n\r\n");
        shut(false);
        break;
    case 4: // Half a head.
        write("HTTP/1.1 503 Service Unav");
        shut(engine_.chance(50));
        break;
    default: // Extra bytes after a complete answer.
        write_answer(200, attempt_ + "::end");
        write("extra bytes");
        return true;
    }
    end_request();
    return true;
}

void soak_engine_session::write_answer(int status, const std::string& body) {
    deadline_.reset();
    const std::uint64_t framing = engine_.below(10);
    const bool until_close = framing == 0;
    closes_ = until_close || engine_.chance(5);
    std::string end = closes_                                   ? "Connection: close\r\n"
                      : engine_.settings().idle > millis{1'000} ? "Keep-Alive: timeout=1\r\n"
                                                                : "";
    if (until_close) {
        end += "\r\n" + body;
    } else if (framing < 4) {
        end +=
            "Transfer-Encoding: chunked\r\n\r\n" + serialize_chunk(body) + std::string(last_chunk);
    } else {
        end += absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n", body);
    }
    const std::string start =
        absl::StrCat(status_line(status), "X-Upstream-Signature: ", attempt_, "\r\n");
    if (until_close) {
        report_until_close();
    }
    write(start + id_line(attempt_) + end);
    if (!closes_) {
        keep(start + id_line(attempt_) + end, start + end, false);
    }
    end_request();
}

void soak_engine_session::report_until_close() {
    engine_.report(absl::StrCat("until-close ", attempt_, " engine ", engine_.settings().id));
}

void soak_engine_session::begin_stream() {
    std::uint64_t after = 0;
    (void)absl::SimpleAtoi(text_of(head_.headers, "Last-Event-Id"), &after);
    next_event_ = static_cast<int>(after) + 1;
    last_event_ = std::max<int>(next_event_, 1 + static_cast<int>(engine_.below(12)));
    is_chunked_ = engine_.chance(85);
    closes_ = !is_chunked_ || engine_.chance(5);
    if (!is_chunked_) {
        report_until_close();
    }
    write(absl::StrCat(status_line(200), "X-Upstream-Signature: ", attempt_, "\r\n",
                       id_line(attempt_), "Content-Type: text/event-stream\r\n",
                       closes_ ? "Connection: close\r\n" : "",
                       is_chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    send_event();
}

void soak_engine_session::send_event() {
    const bool is_last = next_event_ >= last_event_;
    const std::string event =
        absl::StrCat("id: ", next_event_, "\ndata: ", attempt_, is_last ? " end" : "", "\n\n");
    if (engine_.below(3'000) < engine_.settings().faults_permille) {
        write(absl::StrCat("40\r\n", event.substr(0, event.size() / 2)));
        shut(engine_.chance(50) || !is_chunked_);
        end_request();
        return;
    }
    write(is_chunked_ ? serialize_chunk(event) : event);
    if (is_last) {
        write(is_chunked_ ? last_chunk : "");
        end_request();
        return;
    }
    ++next_event_;
    timer_ = engine_.loop().once(millis(engine_.below(longest_gap_ms)), [this] { send_event(); });
}

void soak_engine_session::keep(const std::string& named, const std::string& unnamed,
                               bool is_refusal) {
    answers_.push_back({attempt_, named, unnamed});
    if (answers_.size() > max_kept_answers) {
        answers_.erase(answers_.begin());
    }
    if (is_refusal && !engine_.settings().own_copies) {
        return; // The next request on this connection may be the same attempt.
    }
    const std::uint64_t early = engine_.settings().copies_percent / 3;
    if (!closes_ && engine_.chance(early)) {
        write_copy(answers_.back());
    } else if (!closes_ && engine_.chance(early)) {
        copying_ = engine_.loop().once(millis(engine_.below(longest_run_ms)), [this] {
            const bool is_own = attempt_ == answers_.back().attempt && stage_ != stage::idle;
            if (next_event_ == 0 && (!is_own || engine_.settings().own_copies)) {
                write_copy(answers_.back());
            }
        });
    }
}

void soak_engine_session::end_request() {
    stage_ = stage::answered;
    deadline_.reset();
    if (std::exchange(holds_slot_, false)) {
        engine_.release();
    }
    if (is_open_ && !is_read_) {
        return; // The body is read on.
    }
    stage_ = stage::idle;
    next_event_ = 0;
    if (std::exchange(closes_, false)) {
        shut(false);
    }
    if (!is_open_) {
        return;
    }
    is_read_ = false;
    parser_.restart();
    wait_idle();
    if (!buffer_.empty()) {
        timer_ = engine_.loop().once(micros{0}, [this] { read_on(); });
    }
}

void soak_engine_session::read_on() {
    if (stage_ == stage::idle) {
        wait_idle();
    }
    read_requests();
}

void soak_engine_session::do_end(connection_end) {
    is_open_ = false;
    if (stage_ == stage::waiting && engine_.settings().drops) {
        engine_.withdraw(*this);
        deadline_.reset();
        stage_ = stage::idle;
    } else if (stage_ == stage::running && engine_.settings().drops) {
        timer_.reset();
        end_request();
    } else if (stage_ == stage::answered) {
        stage_ = stage::idle;
    }
}

} // namespace jujubetide
