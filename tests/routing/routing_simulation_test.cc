// The routing and admission classes against the model of both deployments, beside naive policies on
// the same seeds.
#include "model/serving_model.h"

#include "jujubetide/limits/share_admission.h"
#include "jujubetide/routing/least_loaded_router.h"
#include "jujubetide/routing/prefix_router.h"

#include <catch2/catch.hpp>

#include <iostream>

namespace jujubetide::model {
namespace {

constexpr std::uint64_t seed = 7;

class open_admission final : public admission {
protected:
    admission_decision do_decide(const admission_query& /*query*/) override { return {}; }
    void do_on_finished(const admission_query& /*query*/, time_point /*now*/) override {}
};

policy least_loaded(backend_board& board, const jujubetide::clock& /*time*/,
                    std::uint64_t /*seed*/) {
    return {std::make_unique<least_loaded_router>(board), std::make_unique<open_admission>(),
            nullptr};
}

policy estimating(backend_board& board, const jujubetide::clock& time, std::uint64_t /*seed*/) {
    auto shares = std::make_unique<share_admission>();
    share_admission* raw = shares.get();
    auto routes = std::make_unique<prefix_router>(board, time);
    routes->set_active_entries(deployment{}.entries);
    return {std::move(routes), std::move(shares), raw};
}

run_result run_at(const deployment& system, double load, const policy_factory& make_policy,
                  micros reclaim_at = micros{-1}) {
    workload_options arrivals;
    arrivals.load = load;
    arrivals.seed = seed;
    arrivals.duration = std::chrono::seconds(200);
    run_options options;
    options.reclaim_at = reclaim_at;
    return serving_model(system, arrivals, options, make_policy).run();
}

} // namespace

TEST_CASE("simulation: at 80 % load recomputed tokens are half of least loaded's or fewer") {
    std::cout << "seed " << seed << "\n";
    for (const deployment& system : {frio_solidario(), dunajsky_pristav()}) {
        INFO(system.name);
        const run_result ours = run_at(system, 0.8, estimating);
        const run_result naive = run_at(system, 0.8, least_loaded);
        CHECK(2 * ours.recomputed_tokens <= naive.recomputed_tokens);
        CHECK(ours.all.quantile(0.95) <= naive.all.quantile(0.95));
        CHECK(ours.all.share_on_time() >= naive.all.share_on_time());
    }
}

TEST_CASE("simulation: goodput in overload stays near that at 95 % load") {
    for (const deployment& system : {frio_solidario(), dunajsky_pristav()}) {
        INFO(system.name);
        const double before = run_at(system, 0.95, estimating).goodput();
        CHECK(run_at(system, 1.2, estimating).goodput() >= 0.95 * before);
    }
}

TEST_CASE("simulation: the reclaim of a failure domain loses fewer requests than a naive policy") {
    const deployment system = frio_solidario();
    const micros middle = std::chrono::seconds(100);
    const run_result ours = run_at(system, 0.6, estimating, middle);
    CHECK(ours.all.share_on_time() >=
          run_at(system, 0.6, least_loaded, middle).all.share_on_time());
}

} // namespace jujubetide::model
