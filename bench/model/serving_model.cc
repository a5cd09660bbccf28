#include "serving_model.h"

#include "jujubetide/base/rendezvous_hash.h"
#include "jujubetide/routing/prompt_blocks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace jujubetide::model {
namespace {

constexpr std::uint32_t tokens_per_block = prompt_block_bytes / bytes_per_token;
constexpr micros demand_period{1'000'000};

/// Block hashes of a prompt: the service's shared beginning, then the session's own text.
std::vector<std::uint64_t> block_hashes(const model_request& request) {
    const std::size_t blocks =
        std::min<std::size_t>(request.prompt_tokens / tokens_per_block, max_prompt_blocks);
    const std::size_t shared = request.shared_tokens / tokens_per_block;
    std::vector<std::uint64_t> hashes;
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < blocks; ++i) {
        const std::uint64_t text = i < shared ? request.service : (request.session << 8U) + 1;
        chained = rendezvous_weight(chained + i, text);
        hashes.push_back(chained);
    }
    return hashes;
}

} // namespace

double outcome_counts::quantile(double part) const {
    if (first_piece_seconds.empty()) {
        return 0.0;
    }
    std::vector<double> sorted = first_piece_seconds;
    const auto place = static_cast<std::ptrdiff_t>(part * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
    return sorted[static_cast<std::size_t>(place)];
}

double outcome_counts::share_on_time() const {
    return asked == 0 ? 0.0 : static_cast<double>(on_time) / static_cast<double>(asked);
}

struct serving_model::engine {
    engine(const engine_model_options& options) : model(options) {}

    engine_model model;
    backend_server_settings settings;
    std::size_t service = 0;
    bool stepping = false;
    bool gone = false;
    std::uint64_t reports = 0;
};

struct serving_model::entry {
    backend_board board;
    policy decides;
    node_id name;
};

struct serving_model::tracked {
    model_request request;
    route_query query;
    route_choice choice;
    admission_query asked;
    entry* at = nullptr;
    engine* server = nullptr;
    std::uint32_t generated = 0;
};

serving_model::serving_model(const deployment& system, const workload_options& load,
                             run_options options, const policy_factory& make_policy)
    : system_(system), load_(load), options_(options) {
    candidates_.resize(system_.services.size());
    for (std::size_t service = 0; service < system_.services.size(); ++service) {
        for (std::size_t i = 0; i < system_.services[service].engines; ++i) {
            add_engine(service, i, 0);
        }
    }
    for (std::size_t i = 0; i < system_.entries; ++i) {
        entries_.push_back(std::make_unique<entry>());
        entry& made = *entries_.back();
        made.name = node_id(absl::StrCat("entry-", i));
        made.decides = make_policy(made.board, clock_, load.seed * 100 + i);
    }
    result_.by_customer.resize(system_.customer_shares.size());
    result_.by_service.resize(system_.services.size());
}

serving_model::~serving_model() = default;

void serving_model::at(time_point when, std::function<void()> action) {
    events_.push({when, next_order_++, std::move(action)});
}

void serving_model::add_engine(std::size_t service, std::size_t number, std::size_t generation) {
    const service_model& of = system_.services[service];
    engines_.push_back(std::make_unique<engine>(of.engine));
    engine& made = *engines_.back();
    made.service = service;
    backend_server_settings& settings = made.settings;
    settings.id = backend_server_id(absl::StrCat(of.name, "-", number, "-", generation));
    settings.service = service_id(of.name);
    settings.version = version_id("v1");
    settings.host = host_id(absl::StrCat("host-", settings.id.str()));
    settings.failure_domain =
        failure_domain_id(absl::StrCat("domain-", number % system_.failure_domains));
    settings.max_running = of.engine.max_running;
    settings.prefill_tokens_per_second = of.engine.prefill_tokens_per_second;
    candidates_[service].push_back(&settings);
}

template <class Change>
void serving_model::count(const model_request& request, Change&& change) {
    if (request.arrival < time_point(options_.warm_up)) {
        return;
    }
    change(result_.all);
    change(result_.by_customer[request.customer]);
    change(result_.by_service[request.service]);
}

void serving_model::arrive(const model_request& request) {
    requests_.push_back(std::make_unique<tracked>());
    tracked& item = *requests_.back();
    item.request = request;
    item.request.number = requests_.size() - 1;
    entry& from = *entries_[rendezvous_weight(request.session, load_.seed) % entries_.size()];
    item.at = &from;
    route_query& query = item.query;
    query.request = request_id(absl::StrCat("r", request.number));
    query.service = service_id(system_.services[request.service].name);
    query.version = version_id("v1");
    query.customer = customer_id(absl::StrCat("customer-", request.customer));
    query.prefix_hashes = block_hashes(request);
    query.prompt_tokens = token_count(request.prompt_tokens);
    query.now = clock_.now();
    query.deadline = request.first_piece_due;
    count(request, [](outcome_counts& counts) { ++counts.asked; });
    if (!send(from, item, 0)) {
        count(request, [](outcome_counts& counts) { ++counts.refused; });
    }
}

bool serving_model::send(entry& from, tracked& item, std::uint32_t generated) {
    item.query.now = clock_.now();
    const auto choice = from.decides.routes->choose(item.query, candidates_[item.request.service]);
    if (!choice.ok()) {
        return false;
    }
    if (generated == 0 && item.server == nullptr) {
        admission_query& asked = item.asked;
        asked.service = item.query.service;
        asked.customer = item.query.customer;
        asked.share = system_.customer_shares[item.request.customer];
        asked.prompt_tokens = item.query.prompt_tokens;
        asked.estimated_first_piece = choice->estimated_first_piece;
        asked.first_piece_target = item.request.first_piece_due - item.request.arrival;
        asked.now = item.query.now;
        asked.deadline = item.query.deadline;
        if (!from.decides.admits->decide(asked).admitted()) {
            return false;
        }
    }
    const auto server = std::find_if(engines_.begin(), engines_.end(), [&](const auto& one) {
        return one->settings.id == choice->server;
    });
    item.choice = *choice;
    item.server = server->get();
    from.decides.routes->on_sent(item.query, item.choice);
    item.server->model.submit(item.request, generated);
    if (!item.server->stepping) {
        step(*item.server);
    }
    return true;
}

void serving_model::step(engine& server) {
    if (server.gone || server.model.idle()) {
        server.stepping = false;
        return;
    }
    server.stepping = true;
    auto done = std::make_shared<step_result>(server.model.step());
    if (clock_.now() >= time_point(options_.warm_up)) {
        result_.processed_prompt_tokens += done->processed_prompt_tokens;
        result_.recomputed_tokens += done->recomputed_prompt_tokens;
    }
    at(clock_.now() + done->duration, [this, &server, done] {
        if (server.gone) {
            return;
        }
        for (const model_request& request : done->first_pieces) {
            count_first_piece(request);
        }
        for (const model_request& request : done->finished) {
            finish(request, server);
        }
        step(server);
    });
}

void serving_model::count_first_piece(const model_request& request) {
    const tracked& item = *requests_[request.number];
    item.at->decides.routes->on_first_piece(item.query, item.choice);
    const std::chrono::duration<double> taken = clock_.now() - request.arrival;
    const bool on_time = clock_.now() <= request.first_piece_due;
    count(request, [&](outcome_counts& counts) {
        counts.first_piece_seconds.push_back(taken.count());
        (on_time ? counts.on_time : counts.late) += 1;
        counts.on_time_tokens += on_time ? request.output_tokens : 0;
    });
}

void serving_model::finish(const model_request& request, engine& server) {
    tracked& item = *requests_[request.number];
    if (item.server != &server) {
        return;
    }
    item.at->decides.routes->on_finished(item.query, item.choice, item.choice.expected_cached,
                                         true);
    item.at->decides.admits->on_finished(item.asked, clock_.now());
}

void serving_model::report_loads() {
    for (const auto& server : engines_) {
        if (server->gone) {
            continue;
        }
        load_report load = server->model.report();
        load.sequence = sequence_number(++server->reports);
        load.version = server->settings.version;
        at(clock_.now() + options_.report_delay, [this, load, id = server->settings.id] {
            for (const auto& to : entries_) {
                to->board.report_load(id, load, clock_.now());
            }
        });
    }
    at(clock_.now() + options_.report_period, [this] { report_loads(); });
}

void serving_model::share_demand() {
    std::vector<std::vector<customer_demand>> told;
    for (const auto& from : entries_) {
        if (from->decides.shares == nullptr) {
            return;
        }
        told.push_back(from->decides.shares->own_demand(clock_.now()));
    }
    for (std::size_t to = 0; to < entries_.size(); ++to) {
        std::map<std::pair<service_id, customer_id>, customer_demand> others;
        for (std::size_t from = 0; from < entries_.size(); ++from) {
            for (const customer_demand& one : told[from]) {
                if (from != to) {
                    customer_demand& sum =
                        others
                            .try_emplace({one.service, one.customer},
                                         customer_demand{one.service, one.customer, one.share, 0})
                            .first->second;
                    sum.tokens_per_second += one.tokens_per_second;
                }
            }
        }
        std::vector<customer_demand> list;
        list.reserve(others.size());
        for (const auto& [key, sum] : others) {
            list.push_back(sum);
        }
        entries_[to]->decides.shares->set_remote_demand(list, clock_.now());
    }
    at(clock_.now() + demand_period, [this] { share_demand(); });
}

void serving_model::announce_reclaim() {
    for (const auto& server : engines_) {
        if (server->settings.failure_domain == failure_domain_id("domain-0")) {
            for (const auto& to : entries_) {
                to->board.mark_leaving(server->settings.host);
            }
        }
    }
    at(clock_.now() + options_.reclaim_notice, [this] { reclaim(); });
}

void serving_model::reclaim() {
    std::vector<std::size_t> lost(system_.services.size(), 0);
    for (const auto& server : engines_) {
        if (server->gone || server->settings.failure_domain != failure_domain_id("domain-0")) {
            continue;
        }
        server->gone = true;
        for (const displaced_request& moved : server->model.displace_all()) {
            tracked& item = *requests_[moved.request.number];
            item.at->decides.routes->on_finished(item.query, item.choice, token_count(), false);
            send(*item.at, item, moved.generated);
        }
        ++lost[server->service];
    }
    at(clock_.now() + options_.replacement_after, [this, lost] {
        for (std::size_t service = 0; service < lost.size(); ++service) {
            for (std::size_t i = 0; i < lost[service]; ++i) {
                add_engine(service, i * system_.failure_domains, 1);
            }
        }
    });
}

run_result serving_model::run() {
    const std::vector<model_request> workload = make_workload(system_, load_);
    for (const model_request& request : workload) {
        at(request.arrival, [this, &request] { arrive(request); });
    }
    at(time_point(), [this] {
        report_loads();
        share_demand();
    });
    if (options_.reclaim_at >= micros{0}) {
        at(time_point(options_.reclaim_at), [this] { announce_reclaim(); });
    }
    const time_point end(load_.duration);
    while (!events_.empty() && events_.top().when <= end) {
        const event next = events_.top();
        events_.pop();
        clock_.set(next.when);
        next.action();
    }
    result_.seconds = std::chrono::duration<double>(load_.duration - options_.warm_up).count();
    return std::move(result_);
}

} // namespace jujubetide::model
