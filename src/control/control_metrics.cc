#include "control/control_metrics.h"

#include "control/status_report.h"

#include <prometheus/text_serializer.h>

namespace jujubetide {
namespace {

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

control_metrics::control_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answers_(prometheus::BuildCounter()
                   .Name("jujubetide_operator_answers_total")
                   .Help("Answers to operators by method and status.")
                   .Register(*registry_)),
      revision_(add_gauge(*registry_, "jujubetide_settings_revision",
                          "Revision of the settings in force at this process.")),
      behind_(add_gauge(*registry_, "jujubetide_nodes_behind",
                        "Nodes at which these settings are not known to be in force.")),
      members_(
          add_gauge(*registry_, "jujubetide_members", "Nodes that are not known to be dead.")) {}

void control_metrics::count_answer(const std::string& method, int status) {
    answers_.Add({{"method", method}, {"status", std::to_string(status)}}).Increment();
}

std::string control_metrics::text(const blackboard& boards) {
    const snapshot_ptr settings = boards.settings.current();
    const revision at = settings ? settings->at() : revision{};
    const revision_report report = report_revision(boards.members, at);
    revision_.Set(static_cast<double>(at.value()));
    behind_.Set(static_cast<double>(report.behind.size()));
    members_.Set(static_cast<double>(report.nodes));
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jujubetide
