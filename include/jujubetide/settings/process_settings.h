#pragma once

#include "jujubetide/base/endpoint.h"
#include "jujubetide/base/findings.h"
#include "jujubetide/base/ids.h"
#include "jujubetide/base/units.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <vector>

namespace jujubetide {

/// What one process learns from its YAML file when it starts. Entry and control share the fields.
struct process_settings {
    node_id node;
    host_id host;
    failure_domain_id failure_domain;
    region_id region;
    /// Callers' (entry) or operators' (control) HTTP.
    endpoint listen;
    /// Streams between the system's processes.
    endpoint peer_listen;
    /// The platform's services.
    endpoint platform;
    /// Peer addresses to ask first; the node itself may be among them.
    std::vector<endpoint> seeds;
    /// Threads for HTTP; each running request holds one.
    std::size_t http_threads = 256;
    /// Memory of the process; bodies that it buffers may take half of it.
    std::size_t memory_mb = 1'024;
    /// How long a stopping process waits for its running requests.
    millis drain_timeout{20'000};
    /// How long callers may keep the answer of `GET /v1/entries`.
    millis entries_lifetime{30'000};
    /// How often the table is read for newer settings, before jitter.
    millis settings_poll{30'000};
    /// Control only: SHA-256 of a key that may change settings while no operator is declared, in
    /// lower-case hex; empty for none.
    std::string bootstrap_operator_key_sha256;
};

/// Reads and checks a process's YAML file; unknown fields are refused. InvalidArgument with all
/// findings and their lines, NotFound when the file cannot be read.
absl::StatusOr<process_settings> load_process_settings(const std::string& file);

} // namespace jujubetide
