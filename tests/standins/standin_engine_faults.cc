#include "standins/standin_engine_faults.h"

namespace jujubetide {

void standin_engine_faults::set(engine_fault fault, const engine_fault_plan& plan) {
    const std::lock_guard lock(mutex_);
    plans_[fault] = plan;
}

void standin_engine_faults::clear() {
    const std::lock_guard lock(mutex_);
    plans_.clear();
}

std::optional<engine_fault_plan> standin_engine_faults::take(engine_fault fault) {
    const std::lock_guard lock(mutex_);
    const auto found = plans_.find(fault);
    if (found == plans_.end() || found->second.calls == 0) {
        return std::nullopt;
    }
    if (found->second.calls > 0) {
        --found->second.calls;
    }
    return found->second;
}

std::optional<engine_fault> standin_engine_faults::parse(const std::string& name) {
    static const std::map<std::string, engine_fault> names{
        {"fail_before_run", engine_fault::fail_before_run},
        {"refuse_not_run", engine_fault::refuse_not_run},
        {"end_early", engine_fault::end_early},
        {"stall", engine_fault::stall},
        {"repeat_piece", engine_fault::repeat_piece},
        {"cross_pieces", engine_fault::cross_pieces},
        {"skip_piece", engine_fault::skip_piece},
        {"wrong_attempt", engine_fault::wrong_attempt},
        {"late_pieces", engine_fault::late_pieces},
        {"tear_piece", engine_fault::tear_piece},
    };
    const auto found = names.find(name);
    return found == names.end() ? std::nullopt : std::make_optional(found->second);
}

} // namespace jujubetide
