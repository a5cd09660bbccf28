#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

namespace jujubetide {

/// Checks a rapidcheck property with a fixed seed; prints the seed and, on failure, the shrunk
/// counterexample unless `quiet`. Returns whether the property held.
template <class Testable>
bool fixed_seed_check(const std::string& name, std::uint64_t seed, int runs, Testable&& testable,
                      bool quiet = false) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = runs;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto result =
        rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    std::cout << name << ": seed " << seed << "\n";
    const bool held = result.template is<rc::detail::SuccessResult>();
    if (!held && !quiet) {
        rc::detail::printResultMessage(result, std::cout);
        std::cout << "\n";
    }
    return held;
}

} // namespace jujubetide
