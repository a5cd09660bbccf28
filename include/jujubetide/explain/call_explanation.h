#pragma once

#include "jujubetide/explain/log_record.h"

#include <absl/status/statusor.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

/// Explains one call from the logs of several nodes: its own records and the events around it.
class call_explanation {
public:
    /// `records` are those of all nodes, in any order. NotFound if none has the id.
    static absl::StatusOr<call_explanation> make(const std::string& id,
                                                 std::vector<log_record> records);

    /// The call's own records by time. A caller that retries with the same id leaves several.
    [[nodiscard]] const std::vector<log_record>& call_records() const { return call_records_; }
    /// State changes at its nodes and servers, from shortly before the call to its end.
    [[nodiscard]] const std::vector<log_record>& related_events() const { return related_events_; }
    /// Number of failed attempts of other calls per server of this call, in that time.
    [[nodiscard]] const std::map<std::string, int>& other_failures() const {
        return other_failures_;
    }
    /// The cause in one sentence, followed by the evidence for it.
    [[nodiscard]] std::string verdict() const;

private:
    explicit call_explanation(std::vector<log_record> call_records);
    void find_time_range();
    void collect_related(const std::vector<log_record>& records);
    [[nodiscard]] bool is_related(const log_record& record) const;
    [[nodiscard]] std::string verdict_of_end(const log_record& last) const;

    std::vector<log_record> call_records_;
    std::vector<log_record> related_events_;
    std::map<std::string, int> other_failures_;
    std::set<std::string> nodes_;
    std::set<std::string> servers_;
    std::set<std::string> services_;
    wall_time begin_{};
    wall_time end_{};
};

} // namespace jujubetide
