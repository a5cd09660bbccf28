#pragma once

#include "jujubetide/base/endpoint.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>

namespace jujubetide {

/// The node program as a process of its own, on a loopback address of its own. Killed with the
/// object.
class node_process {
public:
    /// `index` is from 1 to 250. Settings and log are written to `folder`. With a `cloud`, the node
    /// takes its turn in the duties.
    node_process(std::filesystem::path folder, int index, const endpoint& store,
                 const std::optional<endpoint>& cloud = std::nullopt, int memory_mb = 260);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    void start();
    void signal(int number) const;
    /// The exit code once the process has ended, negative when a signal ended it. Returned once.
    std::optional<int> take_exit_code();
    [[nodiscard]] endpoint caller_endpoint() const;
    [[nodiscard]] endpoint readiness_endpoint() const;
    [[nodiscard]] endpoint peer_endpoint() const;
    /// The most memory that the running process has had, in bytes.
    [[nodiscard]] std::size_t peak_memory() const;

private:
    void write_settings(const endpoint& store, const std::optional<endpoint>& cloud,
                        int memory_mb) const;
    [[nodiscard]] std::filesystem::path file(const std::string& suffix) const;

    std::filesystem::path folder_;
    std::string name_;
    std::string address_;
    pid_t pid_ = -1;
};

} // namespace jujubetide
