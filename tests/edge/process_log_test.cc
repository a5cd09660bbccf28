#include "jujubetide/edge/process_log.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

using namespace jujubetide;

TEST_CASE("log lines go to standard error and to no file") {
    constexpr log_event event{9'999, log_severity::info, "tried"};
    std::ostringstream errors;
    std::ostringstream output;
    std::streambuf* const old_errors = std::cerr.rdbuf(errors.rdbuf());
    std::streambuf* const old_output = std::cout.rdbuf(output.rdbuf());
    process_log log("program");
    log.write(event, {{"field", "a value"}});
    std::cerr.rdbuf(old_errors);
    std::cout.rdbuf(old_output);
    CHECK_THAT(errors.str(), Catch::Contains("program info JT9999 tried field=\"a value\""));
    CHECK(output.str().empty());
    CHECK_FALSE(std::filesystem::exists("myeasylog.log"));
}

TEST_CASE("several threads may log at once") {
    jujubetide::process_log log("test", jujubetide::log_severity::info);
    constexpr jujubetide::log_event event{1, jujubetide::log_severity::info, "tested"};
    constexpr std::size_t writers = 4;
    std::vector<std::thread> threads;
    threads.reserve(writers);
    for (std::size_t i = 0; i < writers; ++i) {
        threads.emplace_back([&log, &event, i] {
            for (int line = 0; line < 100; ++line) {
                log.write(event, {{"thread", std::to_string(i)}});
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    SUCCEED();
}
