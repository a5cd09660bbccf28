#pragma once

#include "entry/running_request.h"

#include "jujubetide/base/sharded_map.h"

#include <memory>
#include <vector>

namespace jujubetide {

/// The requests to model services that run at this node, and those that moved away from it or came
/// to it and may still be asked for. Thread-safe.
class running_requests {
public:
    /// How long an ended or unread request stays for a caller that reconnects.
    static constexpr micros kept_after_use{30'000'000};

    /// Adds and starts the request, unless one with its id is there; returns whether it was added.
    bool start(const std::shared_ptr<running_request>& request);
    [[nodiscard]] std::shared_ptr<running_request> find(const request_id& id) const;
    void remove(const request_id& id);
    /// Removes what ended or was not read for `kept_after_use`.
    void sweep(time_point now);
    [[nodiscard]] std::vector<std::shared_ptr<running_request>> all() const;
    /// Number of requests whose answer has no end yet.
    [[nodiscard]] std::size_t running_count() const;

private:
    sharded_map<request_id, std::shared_ptr<running_request>> requests_;
};

} // namespace jujubetide
