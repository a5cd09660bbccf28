// A back end, and what the operator and the back ends write into the store.
#pragma once

#include "platform.h"

#include <memory>

namespace standin {

/// A server of the application: works on a request for a while and answers it, signed.
class plain_server {
public:
    plain_server(const address& at, std::string id, std::chrono::milliseconds work, record& to)
        : at_(at), id_(std::move(id)), work_(work), record_(to),
          server_(at, [this](const socket_handle& from) { serve(from); }) {}

    const std::string& id() const { return id_; }
    json registration(const std::string& service, const std::string& zone, int sequence) const {
        return {{"service", service},   {"address", at_.str()}, {"zone", zone},
                {"version", "v1"},      {"slots", 6},           {"state", "ready"},
                {"coldRemainingMs", 0}, {"sequence", sequence}, {"born", born_}};
    }
    int runs() const { return runs_; }
    /// The requests that were run.
    std::vector<message> requests() {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    void serve(const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            const std::string attempt = request->header("x-attempt-id");
            const std::string expected = request->header("x-expect-instance");
            if (!expected.empty() && expected != id_) {
                if (!from.send_all(response(
                        421, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", ""))) {
                    return;
                }
                continue;
            }
            const int run = ++runs_;
            {
                const std::lock_guard lock(mutex_);
                requests_.push_back(*request);
            }
            std::this_thread::sleep_for(work_);
            const std::string body = request->method() == "HEAD" ? "" : "answer-" + attempt;
            if (run <= 20) {
                record_.write("server " + id_ + " ran " + request->first_line + " id " + attempt);
            }
            std::string answer =
                response(200,
                         "X-Attempt-Id: " + attempt + "\r\nX-Upstream-Signature: " + id_ + "." +
                             std::to_string(run) + "\r\n",
                         "answer-" + attempt);
            if (request->method() == "HEAD") {
                answer.erase(answer.find("\r\n\r\n") + 4);
            }
            if (!from.send_all(answer)) {
                return;
            }
        }
    }

    address at_;
    std::string id_;
    std::chrono::milliseconds work_;
    record& record_;
    std::atomic<int> runs_{0};
    std::mutex mutex_;
    std::vector<message> requests_;
    std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    server server_;
};

/// A model engine: answers each request with a stream of three events, in chunks.
class engine {
public:
    engine(const address& at, std::string id, record& to)
        : at_(at), id_(std::move(id)), record_(to),
          server_(at, [this](const socket_handle& from) { serve(from); }) {}

    const std::string& id() const { return id_; }
    json registration(const std::string& service, const std::string& zone, int sequence) const {
        return {{"service", service},   {"address", at_.str()}, {"zone", zone},
                {"version", "v1"},      {"slots", 64},          {"state", "ready"},
                {"coldRemainingMs", 0}, {"sequence", sequence}, {"born", born_}};
    }
    int runs() const { return runs_; }

private:
    void serve(const socket_handle& from) {
        message_reader reader(from);
        while (const auto request = reader.read()) {
            const std::string attempt = request->header("x-attempt-id");
            if (request->header("x-expect-instance") != id_) {
                if (!from.send_all(response(
                        421, "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", ""))) {
                    return;
                }
                continue;
            }
            const int run = ++runs_;
            if (run <= 20) {
                record_.write("engine " + id_ + " ran " + request->first_line + " id " + attempt);
            }
            std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt +
                "\r\nX-Upstream-Signature: " + id_ + "." + std::to_string(run) +
                "\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (int event = 1; event <= 3; ++event) {
                const std::string text =
                    "id: " + std::to_string(event) + "\ndata: token-" + attempt + "\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", text.size());
                answer += size + text + "\r\n";
            }
            if (!from.send_all(answer + "0\r\n\r\n")) {
                return;
            }
        }
    }

    address at_;
    std::string id_;
    record& record_;
    std::atomic<int> runs_{0};
    std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    server server_;
};

/// Writes the configuration once and the registrations at each heartbeat, while the store is there.
class writers {
public:
    writers(row_store& store, std::vector<plain_server*> servers, std::vector<engine*> engines = {})
        : store_(store), servers_(std::move(servers)), engines_(std::move(engines)) {
        write_config();
        thread_ = std::thread([this] {
            while (!stopping_) {
                write_registrations();
                for (int i = 0; i < 12 && !stopping_; ++i) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(100));
                }
            }
        });
    }
    ~writers() {
        stopping_ = true;
        thread_.join();
    }
    writers(const writers&) = delete;
    writers& operator=(const writers&) = delete;

    static json config() {
        const auto tenant = [](const char* name, const char* key) {
            return json{{"name", name},       {"apiKeys", {key}},    {"unit", "token_count"},
                        {"plainTokens", 200}, {"ratePerS", 179'841}, {"burst", 179'841}};
        };
        const json tenants = {tenant("hule930", "key-one"), tenant("fida11", "key-two")};
        const auto route = [](const char* name, const char* kind, int attempts) {
            return json{{"name", name},
                        {"host", "ficu95.example"},
                        {"prefix", std::string("/") + name + "/"},
                        {"kind", kind},
                        {"timeoutMs", 1200},
                        {"targetLatencyMs", 150},
                        {"priority", 2},
                        {"maxAttempts", attempts},
                        {"service", "huvo11a"}};
        };
        json stream = route("lohu930", "streaming", 1);
        stream.update({{"timeoutMs", 12'000},
                       {"targetLatencyMs", 1'200},
                       {"targetGapMs", 500},
                       {"priority", 1},
                       {"stickySessions", true},
                       {"streamResume", false},
                       {"service", "kaba98a"}});
        return {
            {"version", 7},
            {"routes",
             {route("puxa403", "non_idempotent", 1), route("hugo494", "idempotent", 2), stream}},
            {"services",
             {{{"name", "huvo11a"}, {"healthPath", "/healthz"}, {"maxConnections", 100}},
              {{"name", "kaba98a"},
               {"healthPath", "/healthz"},
               {"maxConnections", 360},
               {"engine",
                {{"slots", 64},
                 {"kvCacheTokens", 484'124},
                 {"tokenKvBytes", 18'432},
                 {"linkMbps", 88'000.0},
                 {"stride", 3}}}}}},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 3'000},
              {"idleTimeoutMs", 15'000}}},
            {"tenants", tenants}};
    }
    void write_config() { store_.put("op", "config", config()); }
    void write_registrations() {
        if (is_away_) {
            return;
        }
        ++sequence_;
        for (const plain_server* one : servers_) {
            store_.put("servers", one->id(),
                       one->registration("huvo11a", "bratislava-port", sequence_));
        }
        for (const engine* one : engines_) {
            store_.put("servers", one->id(),
                       one->registration("kaba98a", "bratislava-port", sequence_));
        }
    }
    void set_away(bool away) { is_away_ = away; }

private:
    row_store& store_;
    std::vector<plain_server*> servers_;
    std::vector<engine*> engines_;
    std::atomic<int> sequence_{0};
    std::atomic<bool> is_away_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// A request of a caller.
inline std::string caller_request(const std::string& method, const std::string& path,
                                  const std::string& attempt, const std::string& key) {
    return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token " + key + "\r\n\r\n";
}

/// Sends one request on a new connection; nothing if there is no whole answer in time.
inline std::optional<message> call(const address& front, const std::string& request,
                                   std::chrono::milliseconds limit) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    const socket_handle to = connect_to(front, 1000);
    if (!to.is_open() || !to.send_all(request)) {
        return std::nullopt;
    }
    message_reader reader(to);
    return reader.read(deadline);
}

} // namespace standin
