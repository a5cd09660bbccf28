// The platform: the store of rows with the drill in which it comes back from an older copy, and the
// calls of the duties.
#pragma once

#include "http.h"
#include "record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <mutex>

namespace standin {

using json = nlohmann::json;

inline std::string base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U |
                    (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= bytes.size() - i ? digits[value >> (18U - 6U * k) & 63U] : '=';
        }
    }
    return out;
}

inline std::string unbase64(const std::string& text) {
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (digit < 0) {
            break;
        }
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

/// The store's rows over HTTP. It loses what it has acknowledged only in `restore`.
class row_store {
public:
    explicit row_store(const address& at)
        : server_(at, [this](const socket_handle& from) { serve(from); }) {}

    void put(const std::string& table, const std::string& key, const json& value) {
        const std::lock_guard lock(mutex_);
        ++version_;
        set(table, key, value.dump());
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard lock(mutex_);
        ++version_;
        if (tables_[table].erase(key) > 0) {
            changes_.push_back({table, key, {"", version_, true}});
        }
        changed_.notify_all();
    }
    /// Refuses all calls, and cuts those that wait.
    void set_away(bool away) {
        const std::lock_guard lock(mutex_);
        away_ = away;
        ++cuts_;
        changed_.notify_all();
    }
    void keep_copy() {
        const std::lock_guard lock(mutex_);
        copies_.push_back({std::chrono::steady_clock::now(), tables_, changes_, version_});
        if (copies_.size() > max_copies) {
            copies_.pop_front();
        }
    }
    /// Goes back to the newest copy that is at least `age` old, in a new era; returns its age.
    double restore(std::chrono::milliseconds age) {
        const std::lock_guard lock(mutex_);
        const auto now = std::chrono::steady_clock::now();
        auto found = copies_.begin();
        for (auto copy = copies_.begin(); copy != copies_.end(); ++copy) {
            if (now - copy->at >= age) {
                found = copy;
            }
        }
        tables_ = found->rows;
        changes_ = found->changes;
        version_ = found->version;
        const double real_age = std::chrono::duration<double>(now - found->at).count();
        copies_.clear();
        ++era_;
        return real_age;
    }
    std::vector<std::string> keys(const std::string& table) {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> list;
        for (const auto& [key, kept] : tables_[table]) {
            list.push_back(key);
        }
        return list;
    }

private:
    static constexpr std::size_t max_copies = 200;
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct change {
        std::string table;
        std::string key;
        row now;
    };
    using tables = std::map<std::string, std::map<std::string, row>>;
    struct copy {
        std::chrono::steady_clock::time_point at;
        tables rows;
        std::vector<change> changes;
        std::uint64_t version = 0;
    };

    void set(const std::string& table, const std::string& key, const std::string& value) {
        tables_[table][key] = {value, version_, false};
        changes_.push_back({table, key, {value, version_, false}});
    }
    static json to_json(const std::string& key, const row& of) {
        json item = {{"part", ""}, {"key", key}, {"ver", of.version}};
        if (of.removed) {
            item["deleted"] = true;
        } else {
            item["value"] = base64(of.value);
        }
        return item;
    }
    static std::map<std::string, std::string> query_of(const std::string& target) {
        std::map<std::string, std::string> query;
        std::size_t begin = target.find('?');
        while (begin != std::string::npos) {
            const std::size_t end = target.find('&', begin + 1);
            const std::string field = target.substr(begin + 1, end - begin - 1);
            const std::size_t equals = std::min(field.find('='), field.size());
            std::string value;
            for (std::size_t i = std::min(equals + 1, field.size()); i < field.size(); ++i) {
                if (field[i] == '%' && i + 2 < field.size()) {
                    value += static_cast<char>(std::stoi(field.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += field[i];
                }
            }
            query[field.substr(0, equals)] = value;
            begin = end;
        }
        return query;
    }
    void serve(const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            const auto answer = handle(*request);
            if (!answer || !from.send_all(*answer)) {
                return;
            }
        }
    }
    std::string answer(int status, const json& body) const {
        return response(
            status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) + "\r\n",
            body.dump());
    }
    /// Nothing if the connection is to be closed without an answer.
    std::optional<std::string> handle(const message& request) {
        std::unique_lock lock(mutex_);
        if (away_) {
            return answer(503, json::object());
        }
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        auto query = query_of(target);
        if (path == "/v1/rows-get") {
            return get(query);
        }
        if (path == "/v1/rows-feed") {
            return feed(query, lock);
        }
        if (path == "/v1/rows-tx") {
            return commit(json::parse(request.body));
        }
        return answer(404, json::object());
    }
    std::string get(std::map<std::string, std::string>& query) {
        json rows = json::array();
        for (const auto& [key, kept] : tables_[query["table"]]) {
            if (key >= query["from"] && (query["to"].empty() || key < query["to"])) {
                rows.push_back(to_json(key, kept));
            }
        }
        return answer(
            200, {{"ver", version_}, {"nowMs", now_ms()}, {"rows", rows}, {"morePages", false}});
    }
    std::optional<std::string> feed(std::map<std::string, std::string>& query,
                                    std::unique_lock<std::mutex>& lock) {
        const std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
        const auto end = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::atoi(query["waitMs"].c_str()));
        if (after > version_) {
            return answer(410, json::object());
        }
        const std::uint64_t cuts = cuts_;
        for (;;) {
            json rows = json::array();
            for (const change& one : changes_) {
                if (one.table == query["table"] && one.now.version > after) {
                    rows.push_back(to_json(one.key, one.now));
                }
            }
            if (!rows.empty() || std::chrono::steady_clock::now() >= end) {
                return answer(200, {{"ver", version_}, {"nowMs", now_ms()}, {"rows", rows}});
            }
            changed_.wait_until(lock, end);
            if (cuts_ != cuts) {
                return std::nullopt;
            }
        }
    }
    std::string commit(const json& body) {
        for (const json& expected : body.value("expect", json::array())) {
            const auto& rows = tables_[expected.at("table").get<std::string>()];
            const auto found = rows.find(expected.at("key").get<std::string>());
            if ((found == rows.end() ? 0 : found->second.version) !=
                expected.at("ver").get<std::uint64_t>()) {
                return answer(412, {{"ver", version_}, {"rows", json::array()}});
            }
        }
        for (const char* kind : {"put", "remove"}) {
            for (const json& item : body.value(kind, json::array())) {
                const auto table = item.at("table").get<std::string>();
                if (table == "op" || table == "servers") {
                    return answer(403, json::object());
                }
            }
        }
        ++version_;
        for (const json& item : body.value("put", json::array())) {
            set(item.at("table"), item.at("key"), unbase64(item.at("value").get<std::string>()));
        }
        for (const json& item : body.value("remove", json::array())) {
            const auto table = item.at("table").get<std::string>();
            const auto key = item.at("key").get<std::string>();
            if (tables_[table].erase(key) > 0) {
                changes_.push_back({table, key, {"", version_, true}});
            }
        }
        changed_.notify_all();
        return answer(200, {{"ver", version_}, {"nowMs", now_ms()}});
    }
    static std::int64_t now_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    tables tables_;
    std::vector<change> changes_;
    std::deque<copy> copies_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 0;
    std::uint64_t cuts_ = 0;
    bool away_ = false;
    server server_;
};

/// Takes the calls of the duties, and looks for two reports of one window with different counts.
class duty_platform {
public:
    struct report {
        std::int64_t window = 0;
        json counts;
        std::string holder;
        std::string token;
    };

    duty_platform(const address& at, record& to)
        : record_(to), server_(at, [this](const socket_handle& from) { serve(from); }) {}

    std::vector<report> reports() {
        const std::lock_guard lock(mutex_);
        return reports_;
    }
    std::vector<std::string> breaches() {
        const std::lock_guard lock(mutex_);
        return breaches_;
    }

private:
    void serve(const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            if (request->target() == "/usage") {
                take(*request);
            }
            if (!from.send_all(response(200, "Content-Type: application/json\r\n", "{}"))) {
                return;
            }
        }
    }
    void take(const message& request) {
        const json body = json::parse(request.body);
        const std::lock_guard lock(mutex_);
        const report made{body.at("windowId").get<std::int64_t>(), body.at("counts"),
                          request.header("x-duty-holder"), request.header("x-fencing-token")};
        record_.write("usage report: window " + std::to_string(made.window) + " counts " +
                      made.counts.dump() + " from " + made.holder + " number " + made.token);
        for (const report& earlier : reports_) {
            if (earlier.window == made.window && earlier.counts != made.counts) {
                breaches_.push_back("window " + std::to_string(made.window) + ": " +
                                    earlier.counts.dump() + " from " + earlier.holder + ", then " +
                                    made.counts.dump() + " from " + made.holder);
                record_.write("BROKEN: two reports with different counts, " + breaches_.back());
            }
        }
        reports_.push_back(made);
    }

    record& record_;
    std::mutex mutex_;
    std::vector<report> reports_;
    std::vector<std::string> breaches_;
    server server_;
};

} // namespace standin
