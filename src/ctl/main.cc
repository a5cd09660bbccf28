// The operators' command line.
#include "ctl/run_ctl.h"

#include "jujubetide/edge/boot_clock.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv) {
    const char* key = std::getenv("JUJUBETIDE_KEY"); // NOLINT(concurrency-mt-unsafe)
    const jujubetide::boot_clock time;
    jujubetide::ctl_environment environment{std::cout, std::cerr, time, key == nullptr ? "" : key};
    const jujubetide::ctl_arguments arguments(argv + 1, argv + argc);
    return static_cast<int>(jujubetide::run_ctl(arguments, environment));
}
