#include "system_fixture.h"

#include "jujubetide/base/build_identity.h"
#include "jujubetide/http/http_client.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace jujubetide;

namespace {

std::string content_of(const std::filesystem::path& file) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

/// A file for the logs of the processes that the fixture starts.
class log_of_processes {
public:
    log_of_processes()
        : file_(std::filesystem::temp_directory_path() /
                ("jujubetide-sources-" + std::to_string(::getpid()))) {
        ::setenv(variable, file_.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
    }
    ~log_of_processes() {
        ::unsetenv(variable);    // NOLINT(concurrency-mt-unsafe)
        std::error_code ignored; // A file that cannot be removed harms no later run.
        std::filesystem::remove(file_, ignored);
    }
    log_of_processes(const log_of_processes&) = delete;
    log_of_processes& operator=(const log_of_processes&) = delete;
    [[nodiscard]] std::string text() const { return content_of(file_); }

private:
    static constexpr const char* variable = "JUJUBETIDE_TEST_LOG";
    std::filesystem::path file_;
};

} // namespace

TEST_CASE("the log and the metrics of each program tell which sources it was built from") {
    const std::string sources(source_identity());
    const log_of_processes log;
    system_fixture system(0, 1);
    system.start_control(0);
    for (const std::string event : {"entry_listening", "control_listening"}) {
        const std::string text = log.text();
        const std::size_t line = text.find(event);
        REQUIRE(line != std::string::npos);
        CHECK(text.substr(line, text.find('\n', line) - line).find("sources=" + sources) !=
              std::string::npos);
    }
    const auto control = parse_endpoint(system.controls[0]->listening());
    REQUIRE(control.ok());
    for (const endpoint& process : {system.entry(0), *control}) {
        const auto metrics = http_call(process, "GET", "/metrics", "", {});
        REQUIRE(metrics.ok());
        CHECK(metrics->body.find("jujubetide_build_info{sources=\"" + sources) !=
              std::string::npos);
    }
}
