#pragma once

#include "manual_clock.h"

#include "jujubetide/membership/membership_node.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace jujubetide {

/// Log lines are dropped.
class silent_log final : public log_sink {
protected:
    void do_write(const log_event& /*event*/,
                  std::initializer_list<log_field> /*fields*/) override {}
};

/// Snapshots that hold documents and fixed backend servers and customers, without YAML.
class fake_snapshot_builder final : public snapshot_builder {
public:
    std::vector<backend_server_settings> servers;
    std::vector<customer_settings> customers;

protected:
    [[nodiscard]] snapshot_ptr do_build(const settings_documents& documents, revision at,
                                        findings& /*found*/) const override {
        settings_snapshot::parts parts;
        parts.at = at;
        parts.documents = documents;
        parts.backend_servers = servers;
        parts.customers = customers;
        return settings_snapshot::make(std::move(parts));
    }
};

struct cluster_shape {
    std::size_t nodes = 7;
    std::size_t regions = 1;
    std::size_t domains_per_region = 4;
    /// Share of messages that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
};

/// Membership nodes in one process on a fake clock and a fake transport with delays and loss.
class simulated_cluster {
public:
    static constexpr std::size_t kinds = 11;
    /// Framing of one message on a kept connection: HTTP/2 headers and frames, TCP and IP headers.
    static constexpr std::size_t message_overhead_bytes = 120;

    class process final : public message_sender {
    public:
        process(simulated_cluster& cluster, const member& self, std::vector<endpoint> seeds)
            : cluster_(cluster), record(self),
              node(self, std::move(seeds),
                   {board, *this, cluster.time, cluster.random, cluster.builder, cluster.log}) {}

        simulated_cluster& cluster_;
        blackboard board;
        member record;
        membership_node node;
        bool running = true;
        bool frozen = false;
        std::array<std::uint64_t, kinds> bytes_out{};
        std::array<std::uint64_t, kinds> bytes_in{};
        std::uint64_t messages_out = 0;
        std::vector<peer_message> held;

    protected:
        void do_send(const endpoint& peer, peer_message_kind kind, std::string body) override {
            cluster_.transmit(*this, peer, kind, std::move(body));
        }
    };

    explicit simulated_cluster(const cluster_shape& wanted) : shape(wanted), random(wanted.seed) {}

    /// Starts all nodes, each knowing the first of each failure domain as a seed.
    void start_all() {
        for (std::size_t i = 0; i < shape.nodes; ++i) {
            add(i);
        }
    }

    process& add(std::size_t number) {
        member self;
        self.node = node_id("entry-" + std::to_string(1000 + number));
        self.host = host_id("host-" + std::to_string(1000 + number));
        const std::size_t domain = number % (shape.regions * shape.domains_per_region);
        self.failure_domain = failure_domain_id("domain-" + std::to_string(domain));
        self.region = region_id("region-" + std::to_string(domain % shape.regions));
        self.peer_address = address_of(number);
        self.public_address = {self.peer_address.address, 8080};
        self.at =
            incarnation(static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
        std::vector<endpoint> seeds;
        for (std::size_t i = 0; i < shape.regions * shape.domains_per_region; ++i) {
            seeds.push_back(address_of(i + seed_offset));
        }
        auto made = std::make_unique<process>(*this, self, seeds);
        process& result = *made;
        by_address_[self.peer_address] = processes.size();
        const std::size_t index = processes.size();
        processes.push_back(std::move(made));
        schedule(micros(static_cast<std::int64_t>(random.below(200'000))),
                 [this, index] { tick(index); });
        return result;
    }

    static endpoint address_of(std::size_t number) {
        return {"10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1),
                7000};
    }

    void run_for(micros duration) {
        const time_point end = time.now() + duration;
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            time.advance(std::max(next.at - time.now(), micros(0)));
            next.action();
        }
        time.advance(end - time.now());
    }

    /// Runs until `done()` holds or `limit` has passed; returns the time taken, or -1 us.
    micros run_until(const std::function<bool()>& done, micros limit,
                     micros step = micros(100'000)) {
        const time_point begin = time.now();
        while (!done()) {
            if (time.now() - begin >= limit) {
                return micros(-1);
            }
            run_for(step);
        }
        return time.now() - begin;
    }

    template <class Predicate>
    [[nodiscard]] std::size_t count_running(Predicate&& predicate) const {
        return static_cast<std::size_t>(
            std::count_if(processes.begin(), processes.end(), [&](const auto& entry) {
                return entry->running && !entry->frozen && predicate(*entry);
            }));
    }
    [[nodiscard]] std::size_t running() const {
        return count_running([](const process&) { return true; });
    }
    template <class Predicate>
    [[nodiscard]] bool all_running(Predicate&& predicate) const {
        return count_running(predicate) == running();
    }

    /// Whether every running node knows exactly the running nodes as alive.
    [[nodiscard]] bool converged() const {
        std::set<node_id> expected;
        for (const auto& entry : processes) {
            if (entry->running && !entry->frozen) {
                expected.insert(entry->record.node);
            }
        }
        return all_running([&expected](const process& entry) {
            std::set<node_id> alive;
            for (const member& known : entry.board.members.all()) {
                if (known.health == member_health::alive) {
                    alive.insert(known.node);
                }
            }
            return alive == expected;
        });
    }

    void thaw(process& entry) {
        entry.frozen = false;
        for (const peer_message& message : entry.held) {
            (void)entry.node.on_message(message);
        }
        entry.held.clear();
    }

    /// Declares backend servers, spread over the failure domains, for the snapshots built next.
    void declare_engines(std::size_t count) {
        const std::size_t domains = shape.regions * shape.domains_per_region;
        for (std::size_t i = 0; i < count; ++i) {
            backend_server_settings server;
            server.id = backend_server_id("engine-" + std::to_string(i));
            server.failure_domain = failure_domain_id("domain-" + std::to_string(i % domains));
            server.version = version_id("v1");
            builder.servers.push_back(server);
        }
    }

    /// Declares customers that may call `services` each, for the snapshots built next.
    void declare_customers(std::size_t count, const std::vector<service_id>& services) {
        for (std::size_t i = 0; i < count; ++i) {
            customer_settings customer;
            customer.id = customer_id("customer-" + std::to_string(i));
            customer.services = services;
            builder.customers.push_back(customer);
        }
    }

    /// From now on each node has demand of all customers that are declared.
    void report_demand() {
        std::vector<customer_demand> demand;
        for (const customer_settings& customer : builder.customers) {
            for (const service_id& service : customer.services) {
                demand.push_back({service, customer.id, customer.share, 1'000.0});
            }
        }
        after_tick = [demand, before = after_tick](process& entry) {
            entry.node.set_own_demand(demand);
            if (before) {
                before(entry);
            }
        };
    }

    /// From now on the watchers report once a second what `load_of` gives.
    void report_loads(std::function<load_report()> load_of) {
        auto last = std::make_shared<std::map<node_id, time_point>>();
        after_tick = [this, last, load_of = std::move(load_of)](process& entry) {
            constexpr micros period{1'000'000};
            time_point& reported = (*last)[entry.record.node];
            if (time.now() - reported < period) {
                return;
            }
            reported = time.now();
            for (const backend_server_id& id : entry.node.watched_servers()) {
                entry.node.report_load(id, load_of());
            }
        };
    }

    /// A load that differs each time, as of an engine at full load.
    load_report random_load() {
        load_report load;
        load.running = static_cast<std::uint32_t>(random.below(32));
        load.waiting = static_cast<std::uint32_t>(random.below(16));
        load.waiting_prompt_tokens = token_count(random.below(60'000));
        load.max_running = 32;
        load.version = version_id("v1");
        return load;
    }

    void reset_counters() {
        for (const auto& entry : processes) {
            entry->bytes_in.fill(0);
            entry->bytes_out.fill(0);
            entry->messages_out = 0;
        }
    }

    cluster_shape shape;
    manual_clock time;
    seeded_random random;
    fake_snapshot_builder builder;
    silent_log log;
    std::vector<std::unique_ptr<process>> processes;
    /// Whether a message from one member reaches the other; all do by default.
    std::function<bool(const member&, const member&)> reachable;
    /// Called after each tick of a running node.
    std::function<void(process&)> after_tick;
    std::size_t seed_offset = 0;

private:
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const event& a, const event& b) {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    void schedule(micros delay, std::function<void()> action) {
        events_.push({time.now() + delay, order_++, std::move(action)});
    }

    void tick(std::size_t index) {
        process& entry = *processes[index];
        if (!entry.running) {
            return;
        }
        if (!entry.frozen) {
            entry.node.on_tick();
            if (after_tick) {
                after_tick(entry);
            }
        }
        schedule(membership_node::tick_period, [this, index] { tick(index); });
    }

    micros delay_between(const member& a, const member& b) {
        const std::int64_t base =
            a.region != b.region ? 40'000 : (a.failure_domain != b.failure_domain ? 2'000 : 500);
        return micros(base + static_cast<std::int64_t>(random.below(2'000)));
    }

    void transmit(process& from, const endpoint& to, peer_message_kind kind, std::string body) {
        const std::size_t size = body.size() + message_overhead_bytes;
        from.bytes_out[static_cast<std::size_t>(kind)] += size;
        ++from.messages_out;
        const auto place = by_address_.find(to);
        if (place == by_address_.end()) {
            return;
        }
        const std::size_t index = place->second;
        const process& target = *processes[index];
        if ((reachable && !reachable(from.record, target.record)) ||
            random.uniform() < shape.loss) {
            return;
        }
        schedule(delay_between(from.record, target.record),
                 [this, index, size, message = peer_message{from.record.node, kind, body}] {
                     deliver(*processes[index], message, size);
                 });
    }

    static void deliver(process& target, const peer_message& message, std::size_t size) {
        if (!target.running) {
            return;
        }
        target.bytes_in[static_cast<std::size_t>(message.kind)] += size;
        if (target.frozen) {
            target.held.push_back(message);
            return;
        }
        (void)target.node.on_message(message);
    }

    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::map<endpoint, std::size_t> by_address_;
};

} // namespace jujubetide
