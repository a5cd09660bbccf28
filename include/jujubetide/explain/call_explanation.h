#pragma once

#include "jujubetide/explain/log_record.h"

#include <absl/status/statusor.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

/// What the logs of several nodes say of one call and of what surrounded it.
class call_explanation {
public:
    /// Takes the records of all nodes, in any order. NotFound where none bears the id.
    static absl::StatusOr<call_explanation> make(const std::string& id,
                                                 std::vector<log_record> records);

    /// The call's own lines in order of time. A caller that came back with the same id has several.
    [[nodiscard]] const std::vector<log_record>& call_records() const { return own_; }
    /// What changed at its nodes and its servers from shortly before it to its end.
    [[nodiscard]] const std::vector<log_record>& related_events() const { return surroundings_; }
    /// Failed attempts of other calls at the same servers in that time.
    [[nodiscard]] const std::map<std::string, int>& other_failures() const {
        return other_failures_;
    }
    /// The cause in one sentence, and what speaks for it.
    [[nodiscard]] std::string verdict() const;

private:
    explicit call_explanation(std::vector<log_record> own);
    void find_span();
    void collect(const std::vector<log_record>& records);
    [[nodiscard]] bool is_surrounding(const log_record& record) const;
    [[nodiscard]] std::string verdict_of_end(const log_record& last) const;

    std::vector<log_record> own_;
    std::vector<log_record> surroundings_;
    std::map<std::string, int> other_failures_;
    std::set<std::string> nodes_;
    std::set<std::string> servers_;
    std::set<std::string> services_;
    wall_time begin_{};
    wall_time end_{};
};

} // namespace jujubetide
