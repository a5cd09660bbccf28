#pragma once

#include "node_process.h"
#include "promise_checker.h"
#include "report_pipe.h"
#include "support/child_process.h"
#include "support/fake_row_store.h"
#include "support/row_store_server.h"

#include "jujubetide/base/random_source.h"
#include "jujubetide/edge/boot_clock.h"
#include "jujubetide/net/event_loop.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// How many processes of each kind a soak has.
struct soak_shape {
    std::string name;
    int nodes = 0;
    int zones = 0;
    int engines = 0;
    int plain_servers = 0;
};

/// Node programs between stand-in processes of callers and backend servers, with disturbances in an
/// order that follows from a seed.
class protocol_soak {
public:
    /// Without `own_copies`, no copy of an answer bears the id of the attempt that it precedes.
    protocol_soak(const soak_shape& shape, std::uint64_t seed, bool own_copies);
    ~protocol_soak();
    protocol_soak(const protocol_soak&) = delete;
    protocol_soak& operator=(const protocol_soak&) = delete;

    void run(micros duration);
    [[nodiscard]] const promise_checker& checker() const { return checker_; }
    /// Each broken promise: its attempt, what was reported of it, and what the nodes logged.
    [[nodiscard]] std::string findings() const;
    /// What was answered and done, on one line.
    [[nodiscard]] std::string summary() const;

private:
    struct engine_place {
        endpoint listen;
        /// What the rows name: `listen`, or a proxy before it.
        endpoint listed;
        bool streams = false;
        std::string id;
        int zone = 0;
        std::unique_ptr<child_process> process;
        bool is_disturbed = false;
    };
    struct node_place {
        std::unique_ptr<node_process> process;
        /// The node's own path to the backend servers, if it has one.
        std::unique_ptr<child_process> link;
        bool is_link_lost = false;
        bool is_disturbed = false;
        bool is_stopping = false;
    };

    void start_node(int index);
    void start_link(node_place& place, int index);
    void start_proxies();
    void start_callers();
    void start_engine(engine_place& place, const std::string& id);
    void put_row(const engine_place& place, const std::string& state);
    void put_configuration();
    void read_reports();
    void check_nodes();
    void disturb();
    void disturb_store();
    void disturb_link(node_place& place);
    void disturb_engine(engine_place& place);
    void replace_engine(engine_place& place);
    void restart_engine(engine_place& place);
    void let_engine_leave(engine_place& place);
    void disturb_node(node_place& place);
    [[nodiscard]] std::string next_engine_id();
    void after(micros delay, std::function<void()> action);
    [[nodiscard]] millis random_delay(std::uint64_t below_ms) {
        return millis(random_.below(below_ms));
    }
    [[nodiscard]] std::string log_lines_of(const std::string& attempt) const;
    [[nodiscard]] std::vector<std::string> common_arguments(const std::string& role);

    soak_shape shape_;
    std::uint64_t seed_;
    bool own_copies_;
    seeded_random random_;
    event_loop loop_;
    boot_clock time_;
    time_point began_ = time_.now();
    /// The folder that outlives the run, if any.
    const char* kept_folder_;
    std::filesystem::path folder_;
    fake_row_store store_{loop_};
    row_store_server store_server_{loop_, time_, store_};
    report_pipe pipe_;
    promise_checker checker_;
    std::uint64_t config_version_ = 0;
    int engines_started_ = 0;
    int processes_started_ = 0;
    std::map<std::string, int> disturbances_;
    std::vector<std::unique_ptr<engine_place>> engines_;
    std::vector<std::unique_ptr<node_place>> nodes_;
    std::vector<std::unique_ptr<child_process>> proxies_;
    std::vector<std::unique_ptr<child_process>> callers_;
    std::vector<std::unique_ptr<timer_subscription>> timers_;
};

} // namespace jujubetide
