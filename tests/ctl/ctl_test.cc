#include "control/started_control.h"
#include "ctl/civil_time.h"
#include "ctl/run_ctl.h"
#include "ctl/settings_plan.h"

#include "jujubetide/base/build_identity.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace jujubetide;
using nlohmann::json;
namespace fs = std::filesystem;

namespace {

struct ctl_run {
    exit_code code;
    std::string out;
    std::string err;
};

/// Runs jujubectl in this process.
ctl_run run(ctl_arguments arguments, const std::string& key = "") {
    std::ostringstream out;
    std::ostringstream err;
    const manual_clock time;
    ctl_environment environment{out, err, time, key};
    const exit_code code = run_ctl(arguments, environment);
    return {code, out.str(), err.str()};
}

/// A directory of settings, removed at the end.
class settings_directory {
public:
    settings_directory()
        : root_(fs::temp_directory_path() / ("jujubectl-" + std::to_string(::getpid()))) {
        fs::remove_all(root_);
    }
    ~settings_directory() { fs::remove_all(root_); }
    settings_directory(const settings_directory&) = delete;
    settings_directory& operator=(const settings_directory&) = delete;

    void write(const std::string& path, const std::string& text) const {
        const fs::path file = root_ / (path.substr(1) + ".yaml");
        fs::create_directories(file.parent_path());
        std::ofstream(file) << text;
    }
    void remove(const std::string& path) const { fs::remove(root_ / (path.substr(1) + ".yaml")); }
    void write_all(const json& documents) const {
        for (const auto& [path, text] : documents.items()) {
            write(path, text.get<std::string>());
        }
    }
    [[nodiscard]] std::string path() const { return root_.string(); }

private:
    fs::path root_;
};

/// A control process whose settings came from the directory by `jujubectl apply`.
struct applied_settings {
    applied_settings() {
        files.write_all(first_documents());
        REQUIRE(call({"apply", files.path()}, "bootstrap-key").code == exit_code::ok);
    }
    ctl_run call(ctl_arguments arguments, const std::string& key) {
        arguments.insert(arguments.end(), {"--server", control.server->address().str()});
        return run(std::move(arguments), key);
    }

    started_control control;
    settings_directory files;
    const std::string service_path = "/teams/frio/services/diagnosis";
};

std::string example_settings() {
    return std::string(JUJUBETIDE_SOURCE_DIR) + "/docs/examples/settings";
}

} // namespace

TEST_CASE("the example settings pass the check") {
    const ctl_run checked = run({"check", example_settings()});
    INFO(checked.err);
    CHECK(checked.code == exit_code::ok);
}

TEST_CASE("check needs no server and prints every finding with its file and line") {
    const settings_directory files;
    files.write_all(first_documents());
    files.write("/teams/frio/services/diagnosis", "kind: model\nversion: 'a b'\nroutes: []\n");
    files.write("/teams/frio/customers/x", "share: 0\n");
    const ctl_run checked = run({"check", files.path()});
    CHECK(checked.code == exit_code::bad_input);
    CHECK_THAT(checked.err,
               Catch::Contains(files.path() + "/teams/frio/services/diagnosis.yaml:2: version"));
    CHECK_THAT(checked.err, Catch::Contains("customers/x.yaml:1: share"));
    CHECK(run({"check", files.path() + "/none"}).code == exit_code::bad_input);
}

TEST_CASE("plan shows what apply then does, by path") {
    applied_settings applied;
    applied.files.write(applied.service_path, service_text("v2"));
    applied.files.write("/teams/frio/backends/e3", backend_text("v2", 8003));
    applied.files.remove("/teams/frio/backends/e1");
    const ctl_run planned = applied.call(
        {"plan", applied.files.path(), "--subtree", "/teams/frio/", "--output", "json"},
        "bela-key");
    REQUIRE(planned.code == exit_code::ok);
    const json plan = json::parse(planned.out);
    CHECK(plan["add"] == json({"/teams/frio/backends/e3"}));
    CHECK(plan["change"] == json({applied.service_path}));
    CHECK(plan["remove"] == json({"/teams/frio/backends/e1"}));
    const ctl_run done = applied.call(
        {"apply", applied.files.path(), "--expect", "1", "--change-id", "c2", "--comment", "two"},
        "ana-key");
    INFO(done.err);
    CHECK(done.code == exit_code::ok);
    CHECK_THAT(done.out, Catch::Contains("change c2 accepted as revision 2"));
    CHECK(applied.call({"apply", applied.files.path()}, "ana-key").out ==
          "nothing to change at revision 2\n");
    const ctl_run history = applied.call({"history", "/teams/frio/"}, "ana-key");
    CHECK_THAT(history.out, Catch::Contains("two"));
    const ctl_run audit = applied.call({"audit", applied.service_path}, "ana-key");
    CHECK_THAT(audit.out, Catch::Contains("- version: v1\n"));
    CHECK_THAT(audit.out, Catch::Contains("+ version: v2\n"));
}

TEST_CASE("a team's directory never removes what lies outside of its subtree") {
    const settings_documents wanted{{"/teams/a/services/x", "1"}};
    const settings_documents server{{"/teams/a/services/y", "1"}, {"/teams/b/services/z", "1"}};
    const settings_plan plan = plan_settings(wanted, server, subtrees_of(wanted));
    CHECK(plan.removed == std::vector<std::string>{"/teams/a/services/y"});
    CHECK(plan.added == std::vector<std::string>{"/teams/a/services/x"});
}

TEST_CASE("exit codes tell scripts what went wrong") {
    applied_settings applied;
    applied.files.write(applied.service_path, service_text("v2"));
    const std::string directory = applied.files.path();
    CHECK(applied.call({"apply", directory, "--expect", "7"}, "ana-key").code ==
          exit_code::conflict);
    CHECK(applied.call({"apply", directory}, "wrong").code == exit_code::refused);
    CHECK(applied.call({"apply", directory}, "").code == exit_code::bad_input);
    CHECK(applied.call({"get", "/teams/none"}, "ana-key").code == exit_code::failed);
    CHECK(applied.call({"nonsense"}, "ana-key").code == exit_code::bad_input);
    CHECK(applied.call({"get", "--nonsense"}, "ana-key").code == exit_code::bad_input);
    CHECK(run({"status"}, "ana-key").code == exit_code::bad_input);
    applied.files.write(applied.service_path, "kind: model\n");
    const ctl_run wrong = applied.call({"plan", directory}, "ana-key");
    CHECK(wrong.code == exit_code::bad_input);
    CHECK_THAT(wrong.err, Catch::Contains("routes: is missing"));
    applied.control.rows.set_down(true);
    applied.files.write(applied.service_path, service_text("v2"));
    CHECK(applied.call({"apply", directory}, "ana-key").code == exit_code::unreachable);
    applied.control.server->stop();
    CHECK(applied.call({"status"}, "ana-key").code == exit_code::unreachable);
}

TEST_CASE("of two operators who apply at once one is told the conflict") {
    applied_settings applied;
    applied.files.write(applied.service_path, service_text("v2"));
    const auto view = json::parse(applied.call({"get", "--output", "json"}, "ana-key").out);
    CHECK(view["documents"].size() == 5);
    CHECK(applied.call({"apply", applied.files.path()}, "bela-key").code == exit_code::refused);
    REQUIRE(applied.call({"apply", applied.files.path(), "--subtree", "/teams/frio/"}, "bela-key")
                .code == exit_code::ok);
    const control_client late({applied.control.server->address()}, "ana-key");
    const auto lost = late.apply({change_id("late"),
                                  revision(view["revision"].get<std::uint64_t>()),
                                  "",
                                  {{applied.service_path, service_text("v1")}}});
    CHECK(exit_code_of(lost.status()) == exit_code::conflict);
    CHECK_THAT(std::string(lost.status().message()), Catch::Contains("of operator 'bela'"));
}

TEST_CASE("moves are started, shown and taken back") {
    applied_settings applied;
    const ctl_run started = applied.call(
        {"move", "start", "diagnosis", "--to", "v2", "--by", "+2h", "--move-id", "m1"}, "bela-key");
    INFO(started.err);
    CHECK(started.code == exit_code::ok);
    CHECK_THAT(applied.call({"move", "status"}, "bela-key").out, Catch::Contains("planned"));
    CHECK_THAT(applied.call({"status"}, "ana-key").out, Catch::Contains("to v2 planned"));
    const ctl_run back = applied.call({"move", "take-back", "m1", "--comment", "slow"}, "bela-key");
    CHECK(back.out == "move m1: taken_back\n");
    CHECK_THAT(applied.call({"audit", "--moves", "diagnosis"}, "ana-key").out,
               Catch::Contains("slow"));
    CHECK(applied.call({"move", "start", "diagnosis", "--to", "v2", "--by", "soon"}, "bela-key")
              .code == exit_code::bad_input);
}

TEST_CASE("a move that cannot be done in time is told beforehand and started only when told so") {
    applied_settings applied;
    const ctl_arguments soon{"diagnosis", "--to", "v2", "--by", "+10m"};
    const auto call = [&](ctl_arguments command, const ctl_arguments& more = {}) {
        command.insert(command.end(), soon.begin(), soon.end());
        command.insert(command.end(), more.begin(), more.end());
        return applied.call(command, "bela-key");
    };
    CHECK(call({"move", "plan"}).code == exit_code::ok);
    // 20,000 requests take 2,000 s.
    applied.control.traffic.rate = 10.0;
    const ctl_run planned = call({"move", "plan"}, {"--output", "json"});
    CHECK(planned.code == exit_code::conflict);
    const json plan = json::parse(planned.out);
    CHECK(plan["feasible"] == false);
    CHECK(plan["steps"].size() >= 3);
    const auto refused = call({"move", "start"}, {"--move-id", "m1"});
    CHECK(refused.code == exit_code::conflict);
    const std::string told =
        format_civil_time(wall_time(millis(plan["earliest_due_ms"].get<std::int64_t>())));
    CHECK_THAT(refused.err, Catch::Contains("the earliest is " + told));
    CHECK(
        applied.call({"move", "plan", "diagnosis", "--to", "v2", "--by", told}, "bela-key").code ==
        exit_code::ok);
    applied.control.traffic.rate = 0.0;
    CHECK_THAT(call({"move", "start"}).err, Catch::Contains("no traffic"));
    CHECK(call({"move", "start"}, {"--move-id", "m1", "--anyway"}).code == exit_code::ok);
    CHECK(call({"move", "start"}, {"--move-id", "m1"}).code == exit_code::ok);
}

TEST_CASE("times are read and printed in UTC") {
    const wall_time now{millis{1'764'800'000'000}};
    CHECK(*parse_civil_time("+90m", now) == now + std::chrono::minutes(90));
    const auto due = parse_civil_time("2026-12-04T18:00:00Z", now);
    REQUIRE(due.ok());
    CHECK(format_civil_time(*due) == "2026-12-04T18:00:00Z");
    CHECK_FALSE(parse_civil_time("tomorrow", now).ok());
}

TEST_CASE("help and version are everywhere") {
    CHECK(run({"--help"}).code == exit_code::ok);
    CHECK_THAT(run({"--help"}).out, Catch::Contains("Exit codes"));
    CHECK(run({"--version"}).code == exit_code::ok);
    CHECK_THAT(run({"--version"}).out, Catch::Contains(std::string(source_identity())));
    for (const char* command : {"check", "plan", "apply", "get", "history", "audit", "status"}) {
        CHECK(run({command, "--help"}).code == exit_code::ok);
        CHECK(run({command, "--version"}).code == exit_code::ok);
    }
}

TEST_CASE("explain tells what became of a call from the nodes' logs") {
    const fs::path file =
        fs::temp_directory_path() / ("jujubectl-log-" + std::to_string(::getpid()));
    std::ofstream(file) << R"({"t":5,"node":"n1","name":"call_refused","id":"a","status":"429",)"
                        << R"("cause":"usage_cap"})" << '\n'
                        << "torn line {\n";
    const ctl_run text = run({"explain", "a", file.string()});
    CHECK(text.code == exit_code::ok);
    CHECK(text.out.find("Refused with 429 at n1") == 0);
    const ctl_run parsed = run({"explain", "a", file.string(), "--output", "json"});
    CHECK(json::parse(parsed.out).at("own").size() == 1);
    CHECK(run({"explain", "unknown", file.string()}).code == exit_code::failed);
    CHECK(run({"explain", "a", "/nonexistent"}).code == exit_code::failed);
    CHECK(run({"explain", "a"}).code == exit_code::bad_input);
    fs::remove(file);
}
