#pragma once

#include "direct_peers.h"
#include "entry/entry_server.h"
#include "local_facts.h"
#include "standins/standin_answer.h"
#include "standins/standin_caller.h"
#include "standins/standin_engine.h"
#include "standins/standin_plain_service.h"
#include "standins/standin_platform.h"

#include "jujubetide/backend/http_engine_client.h"
#include "jujubetide/backend/http_plain_client.h"
#include "jujubetide/edge/thread_timer_service.h"
#include "jujubetide/limits/deadline_admission.h"
#include "jujubetide/platform/http_table.h"
#include "jujubetide/routing/least_loaded_router.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jujubetide {

/// Drops log lines.
class no_log final : public log_sink {
protected:
    void do_write(const log_event& /*event*/,
                  std::initializer_list<log_field> /*fields*/) override {}
};

/// Waits until `holds`, at most half a minute; returns whether it came to hold.
bool wait_until(const std::function<bool()>& holds);

/// One entry server with the parts that it needs; its failure domain is "d<index>".
class test_entry {
public:
    test_entry(peer_hub& hub, int index, const endpoint& platform);

    blackboard boards;
    direct_peers peers;
    entry_server& server() { return *server_; }
    [[nodiscard]] const member& record() const { return record_; }

private:
    boot_clock time_;
    thread_timer_service timers_;
    no_log log_;
    http_table table_;
    http_engine_client engines_{timers_};
    http_plain_client plain_{timers_};
    least_loaded_router routes_{boards.backends};
    deadline_admission limits_;
    retry_budget retries_;
    settled_version_selector versions_;
    local_facts facts_;
    member record_;
    std::unique_ptr<entry_server> server_;
};

/// Entries before engines, one engine in each failure domain, a plain service with two servers and
/// the platform, all in this process over real sockets. The service "chat" is a model service;
/// "berth" is plain, its POST route is not idempotent.
class entry_fixture {
public:
    static constexpr const char* key = "customer-key";

    explicit entry_fixture(int engine_count = 3, int entry_count = 1);

    standin_caller caller(std::size_t entry = 0);
    [[nodiscard]] int running_engines() const;
    void leave_host_of_engine(std::size_t engine);

    std::unique_ptr<standin_platform> platform;
    std::vector<std::unique_ptr<standin_engine>> engines;
    std::vector<std::unique_ptr<standin_plain_service>> plain;
    peer_hub hub;
    std::vector<std::unique_ptr<test_entry>> entries;

private:
    [[nodiscard]] snapshot_ptr make_settings() const;
};

} // namespace jujubetide
