#include "promise_checker.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <sstream>

namespace jujubetide {
namespace {

bool may_repeat(const std::string& id) {
    return absl::StartsWith(id, "often") || absl::StartsWith(id, "resumed");
}

bool is_promise(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void promise_checker::take(const std::string& line, millis now) {
    std::istringstream words(line);
    std::string kind;
    std::string id;
    words >> kind >> id;
    ++lines_[kind];
    const std::string noted = absl::StrCat(now.count(), " ms: ", line);
    attempt& one = attempts_[id];
    one.is_until_close = one.is_until_close || kind == "until-close";
    if (kind == "mixed" || kind == "malformed" || kind == "unasked" ||
        (kind == "short" && !one.is_until_close)) {
        mixed_.push_back(noted);
    }
    one.history.push_back(noted);
    if (kind == "copy") {
        std::string before;
        words >> before >> before;
        if (before != id) {
            attempts_[before].history.push_back(noted);
        }
    } else if (kind == "sent") {
        one.is_sent = true;
    } else if (kind == "run") {
        ++one.runs;
        if (!one.is_sent) {
            broken_[id] = "UNASKED";
        }
    } else if (kind == "answer") {
        int status = 0;
        words >> kind >> status;
        ++answers_[status];
        one.promise = is_promise(status) ? status : 0;
    } else if (kind == "broken") {
        ++answers_[0];
    }
    check(id, one);
}

void promise_checker::check(const std::string& id, const attempt& one) {
    if (may_repeat(id)) {
        return;
    }
    if (one.runs > 1) {
        broken_[id] = "TWICE";
    } else if (one.runs > 0 && one.promise != 0) {
        broken_[id] = "REFUSED";
    }
}

std::string promise_checker::history_of(const std::string& id) const {
    const auto found = attempts_.find(id);
    std::string text;
    if (found != attempts_.end()) {
        for (const std::string& line : found->second.history) {
            absl::StrAppend(&text, "    ", line, "\n");
        }
    }
    return text;
}

} // namespace jujubetide
