#include "support/simulated_cluster.h"

#include "jujubetide/limits/share_admission.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace jujubetide;
using namespace std::chrono_literals;

namespace {

const service_id diagnosis("diagnosis");
const customer_id large("large");
constexpr std::size_t node_count = 24;
constexpr std::size_t small_customers = 4;
/// What the engines do together, in requests a second.
constexpr double capacity = 240.0;
/// What a small customer asks, below its share of a fifth; the large one may take what is left.
constexpr double small_rate = 40.0;
constexpr double large_entitlement = capacity - small_customers * small_rate;
/// What admission may let through above the capacity: the options' tolerance, and the one request
/// with which each node crosses the line in the time that work is remembered.
constexpr double allowed_excess = 0.1 * large_entitlement + node_count / 5.0;
/// The queue serves all customers alike, so that the excess takes as much from each.
constexpr double small_part = capacity / (capacity + allowed_excess);

customer_id small_customer(std::size_t number) {
    return customer_id("small-" + std::to_string(number));
}

/// Nodes that admit requests by shares before one queue, which serves them in their order. Each
/// small customer calls one node; the large one calls all nodes, twelve times its entitlement.
class shared_service {
public:
    explicit shared_service(bool exchange) : cluster(shape()), limits_(node_count) {
        cluster.start_all();
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }, 30s) >= 0us);
        for (std::size_t i = 0; i < small_customers; ++i) {
            declare(small_customer(i));
        }
        declare(large);
        findings found;
        cluster.processes[0]->node.settings(
            cluster.builder.build({{"/a", "b"}}, revision(1), found));
        cluster.run_for(5s);
        cluster.after_tick = [this, exchange](simulated_cluster::process& entry) {
            const std::size_t number = number_of(entry);
            ask(number);
            if (exchange && cluster.time.now() >= next_exchange_[number]) {
                next_exchange_[number] = cluster.time.now() + 1s;
                entry.node.set_own_demand(limits_[number].own_demand(cluster.time.now()));
                limits_[number].set_remote_demand(entry.node.demand_of_others(),
                                                  cluster.time.now());
            }
        };
    }

    /// Requests a second that were served to each customer, over a minute.
    std::map<customer_id, double> served_in_a_minute() {
        cluster.run_for(30s);
        served_.clear();
        cluster.run_for(60s);
        for (auto& [customer, count] : served_) {
            count /= 60.0;
        }
        return served_;
    }

    simulated_cluster cluster;

private:
    static constexpr double ticks_per_second = 1e6 / membership_node::tick_period.count();

    static cluster_shape shape() {
        cluster_shape shape;
        shape.nodes = node_count;
        shape.regions = 2;
        shape.loss = 0.2;
        return shape;
    }
    void declare(const customer_id& id) {
        customer_settings customer;
        customer.id = id;
        customer.services = {diagnosis};
        cluster.builder.customers.push_back(customer);
    }
    std::size_t number_of(const simulated_cluster::process& entry) const {
        std::size_t number = 0;
        while (cluster.processes[number].get() != &entry) {
            ++number;
        }
        return number;
    }
    void ask(std::size_t number) {
        if (number < small_customers) {
            ask(number, small_customer(number), small_rate);
        }
        ask(number, large, 12.0 * large_entitlement / node_count);
        work_ += capacity / ticks_per_second / node_count;
        while (work_ >= 1.0 && !queue_.empty()) {
            work_ -= 1.0;
            const auto [at, query] = queue_.front();
            queue_.pop_front();
            limits_[at].on_finished(query, cluster.time.now());
            served_[query.customer] += 1.0;
        }
    }
    void ask(std::size_t number, const customer_id& customer, double rate) {
        admission_query query;
        query.service = diagnosis;
        query.customer = customer;
        query.prompt_tokens = token_count(800);
        query.estimated_first_piece = 300ms;
        query.first_piece_target = 400ms;
        query.now = cluster.time.now();
        query.deadline = query.now + 2s;
        double& open = asked_[{number, customer}];
        open += rate / ticks_per_second;
        const auto count = static_cast<std::size_t>(open);
        open -= static_cast<double>(count);
        for (std::size_t i = 0; i < count; ++i) {
            if (limits_[number].decide(query).admitted()) {
                queue_.emplace_back(number, query);
            }
        }
    }

    std::vector<share_admission> limits_;
    std::map<std::size_t, time_point> next_exchange_;
    std::map<std::pair<std::size_t, customer_id>, double> asked_;
    std::deque<std::pair<std::size_t, admission_query>> queue_;
    std::map<customer_id, double> served_;
    double work_ = 0.0;
};

bool tells_of(const simulated_cluster& cluster, const customer_id& customer) {
    return cluster.count_running([&](const simulated_cluster::process& entry) {
        const auto told = entry.node.demand_of_others();
        return std::any_of(told.begin(), told.end(),
                           [&](const customer_demand& one) { return one.customer == customer; });
    }) > 0;
}

} // namespace

TEST_CASE("simulation: a customer that calls all nodes is held to its share, with 20 % loss") {
    shared_service run(true);
    const auto served = run.served_in_a_minute();
    std::cout << "large customer: " << served.at(large) << " requests/s of " << large_entitlement
              << "\n";
    CHECK(served.at(large) <= large_entitlement + allowed_excess);
    for (std::size_t i = 0; i < small_customers; ++i) {
        CHECK(served.at(small_customer(i)) >= small_part * small_rate);
    }
    // Without the node that it calls, a customer is forgotten at all others.
    CHECK(tells_of(run.cluster, small_customer(0)));
    run.cluster.processes[0]->running = false;
    CHECK(run.cluster.run_until([&] { return !tells_of(run.cluster, small_customer(0)); }, 30s) >=
          0us);
    CHECK(tells_of(run.cluster, small_customer(1)));
}

TEST_CASE("simulation: with each node's own demand alone the customer exceeds its share") {
    shared_service run(false);
    const auto served = run.served_in_a_minute();
    CHECK(served.at(large) > 1.5 * large_entitlement);
    CHECK(served.at(small_customer(0)) < small_part * small_rate);
}
