#include "jujubetide/settings/process_settings.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace jujubetide;

namespace {

absl::StatusOr<process_settings> load(const std::string& text) {
    const auto file = std::filesystem::temp_directory_path() /
                      ("jujubetide-process-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(file) << text;
    auto loaded = load_process_settings(file.string());
    std::filesystem::remove(file);
    return loaded;
}

const std::string valid = "node: e1\nhost: h1\nfailure_domain: a\nregion: r\n"
                          "listen: 127.0.0.1:0\npeer_listen: 127.0.0.1:0\n"
                          "platform: 127.0.0.1:9000\nseeds: [127.0.0.1:9001]\n";

} // namespace

TEST_CASE("a process's file is read with its defaults") {
    const auto loaded = load(valid + "drain_timeout_ms: 5\n");
    REQUIRE(loaded.ok());
    CHECK(loaded->node == node_id("e1"));
    CHECK(loaded->drain_timeout == millis{5});
    CHECK(loaded->settings_poll == millis{30'000});
    CHECK(loaded->seeds == std::vector<endpoint>{{"127.0.0.1", 9001}});
}

TEST_CASE("a wrong process file tells every finding") {
    const auto loaded = load(valid + "http_threads: 1\nlisten_on: x\n");
    CHECK(loaded.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK_THAT(std::string(loaded.status().message()), Catch::Contains(":9: http_threads: "));
    CHECK_THAT(std::string(loaded.status().message()), Catch::Contains(":10: listen_on: unknown"));
    CHECK(load_process_settings("/nonexistent").status().code() == absl::StatusCode::kNotFound);
}
