#include "support/manual_clock.h"

#include "jujubetide/edge/json_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace jujubetide;

namespace {

constexpr log_event usual{7010, log_severity::info, "usual"};
constexpr log_event grave{7011, log_severity::warning, "grave"};

/// A log whose reader takes nothing until `read_all`.
struct piped_log {
    explicit piped_log(json_log_options options = {}) {
        REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0);
        options.descriptor = ends[1];
        log = std::make_unique<json_log>("n1", time, options);
    }
    ~piped_log() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    piped_log(const piped_log&) = delete;
    piped_log& operator=(const piped_log&) = delete;

    void write(const log_event& event, int count) {
        for (int i = 0; i < count; ++i) {
            log->write(event, {{"id", std::to_string(i)}});
        }
    }
    /// Every line that the log still holds or has written.
    std::vector<nlohmann::json> read_all() {
        std::string text;
        std::string part(65'536, '\0');
        for (;;) {
            log->flush();
            const ssize_t count = ::read(ends[0], part.data(), part.size());
            if (count <= 0) {
                break;
            }
            text.append(part, 0, static_cast<std::size_t>(count));
        }
        std::vector<nlohmann::json> lines;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }

    std::array<int, 2> ends{};
    manual_clock time;
    std::unique_ptr<json_log> log;
};

int count_of(const std::vector<nlohmann::json>& lines, const std::string& name) {
    return static_cast<int>(std::count_if(
        lines.begin(), lines.end(), [&](const auto& line) { return line.at("name") == name; }));
}

} // namespace

TEST_CASE("each event is one JSON object with its time, node and fields") {
    piped_log piped;
    piped.log->write(usual, {{"id", "a\"\n\xff"}});
    const auto lines = piped.read_all();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("node") == "n1");
    CHECK(lines[0].at("event") == 7010);
    CHECK(lines[0].at("level") == "info");
    CHECK(lines[0].at("t") == piped.time.wall_now().time_since_epoch().count());
}

TEST_CASE("a flood of one kind of event is bounded, counted, and leaves the other kinds alone") {
    piped_log piped;
    piped.write(usual, 1'000);
    piped.write(grave, 5);
    const auto lines = piped.read_all();
    CHECK(count_of(lines, "usual") == 200);
    CHECK(count_of(lines, "grave") == 5);
    CHECK(piped.log->dropped() == 800);
    CHECK(count_of(lines, "log_lines_dropped") == 1);
}

TEST_CASE("a reader that takes nothing costs lines, not time, and refusals are kept the longest") {
    json_log_options options;
    options.lines_per_second = 1'000'000;
    piped_log piped(options);
    const auto began = std::chrono::steady_clock::now();
    piped.write(usual, 20'000);
    piped.write(grave, 100);
    piped.log->flush();
    // A log that waits for its reader never gets here.
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(5));
    CHECK(piped.log->dropped() > 0);
    const auto lines = piped.read_all();
    CHECK(count_of(lines, "grave") == 100);
    CHECK(count_of(lines, "usual") + static_cast<int>(piped.log->dropped()) == 20'000);
    CHECK(count_of(lines, "log_lines_dropped") == 1);
}
