#pragma once

#include "standins/standin_caller.h"
#include "support/child_process.h"

#include "jujubetide/base/endpoint.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubetide {

/// The system as separate processes: the platform, engines and plain services as stand-ins, and
/// entries before them. Engine and entry number i stand in failure domain "d<i>". The service
/// "chat" is a model service; "berth" is plain, its POST route is not idempotent.
class system_fixture {
public:
    static constexpr const char* key = "customer-key";

    /// Starts everything and waits until each entry is ready.
    system_fixture(int engine_count, int entry_count, int memory_mb = 1'024);
    ~system_fixture();
    system_fixture(const system_fixture&) = delete;
    system_fixture& operator=(const system_fixture&) = delete;

    /// Starts entry number `index`, on a port of its own; the former process is ended.
    void start_entry(std::size_t index);
    /// Starts the engine or plain service number `index` at its address; the former process is
    /// ended.
    void start_engine(std::size_t index);
    void start_plain(std::size_t index);
    /// What engines and plain services have executed, killed ones included, by prompt for
    /// engines, by booking and by request id for plain services.
    [[nodiscard]] std::map<std::string, int> executions() const;
    /// Starts control process number `index`; the former process is ended.
    void start_control(std::size_t index);
    [[nodiscard]] bool wait_ready(std::size_t index) const;
    [[nodiscard]] endpoint entry(std::size_t index) const;
    standin_caller caller(std::size_t entry_index = 0) const { return {entry(entry_index), key}; }
    /// `POST /faults` of a stand-in.
    static void set_faults(const child_process& standin, const std::string& faults);
    /// How often the plain services have run the booking.
    [[nodiscard]] int executions_of_booking(const std::string& name) const;

    std::unique_ptr<child_process> platform;
    std::vector<std::unique_ptr<child_process>> engines;
    std::vector<std::unique_ptr<child_process>> plain;
    std::vector<std::unique_ptr<child_process>> entries;
    std::vector<std::unique_ptr<child_process>> controls;

private:
    void write_settings() const;
    [[nodiscard]] std::string execution_log() const { return folder_ + "/executions"; }
    /// Writes the process's settings file and starts it; the former process is ended.
    void start_process(std::unique_ptr<child_process>& process, const std::string& role,
                       std::size_t index, const endpoint& peer_address) const;

    int memory_mb_;
    std::string folder_;
    std::vector<endpoint> engine_addresses_;
    std::vector<endpoint> plain_addresses_;
    std::vector<endpoint> peer_addresses_;
    std::vector<endpoint> control_peer_addresses_;
};

} // namespace jujubetide
