// Node programs between stand-in processes that use all that the protocol allows them.
// JUJUBETIDE_SOAK_SEED and JUJUBETIDE_SOAK_SECONDS choose another run; JUJUBETIDE_SOAK_OWN_COPIES=0
// leaves out copies of an answer that bear the id of the attempt that they precede, and
// JUJUBETIDE_SOAK_FOLDER keeps the nodes' logs and the stand-ins' report there.
#include "protocol_soak.h"
#include "support/environment.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace jujubetide;

namespace {

void play(const soak_shape& shape) {
    const std::uint64_t seed = number_from_environment("JUJUBETIDE_SOAK_SEED", 1);
    const std::uint64_t seconds = number_from_environment("JUJUBETIDE_SOAK_SECONDS", 14);
    const bool own_copies = number_from_environment("JUJUBETIDE_SOAK_OWN_COPIES", 1) != 0;
    protocol_soak soak(shape, seed, own_copies);
    soak.run(std::chrono::seconds(seconds));
    std::cout << soak.summary() << "\n";
    INFO("seed " << seed << "\n" << soak.findings());
    CHECK(soak.checker().broken().empty());
    std::string mixed;
    for (const std::string& line : soak.checker().mixed()) {
        mixed += line + "\n";
    }
    INFO(mixed);
    CHECK(mixed.empty());
    CHECK(soak.checker().answers().count(200) > 0);
}

} // namespace

TEST_CASE("seven nodes keep their promises between processes that repeat, refuse and end") {
    play({"berthgrid", 7, 4, 12, 4});
}

TEST_CASE("six nodes keep their promises between processes that repeat, refuse and end") {
    play({"frio-solidario", 6, 4, 18, 4});
}
