#include "workload.h"

#include <algorithm>
#include <cmath>

namespace jujubetide::model {
namespace {

/// Arrivals alternate between quiet and busy periods of this mean length.
constexpr double period_seconds = 10.0;
constexpr double busy_factor = 1.4;
constexpr double quiet_factor = 0.6;

double exponential(random_source& random, double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(random);
}

std::uint32_t at_least_one(double value) {
    return static_cast<std::uint32_t>(std::max(1.0, value));
}

micros to_micros(double seconds) {
    return micros(static_cast<std::int64_t>(seconds * 1e6));
}

const request_class& pick_class(const service_model& service, random_source& random) {
    double draw = random.uniform();
    for (const request_class& kind : service.classes) {
        if (draw < kind.part) {
            return kind;
        }
        draw -= kind.part;
    }
    return service.classes.back();
}

/// Work of one call in engine seconds at a full batch, with the history cached.
double call_seconds(const engine_model_options& engine, const request_class& kind) {
    const double first_prompt = (kind.min_prompt + kind.max_prompt) / 2.0 - kind.shared_tokens;
    const double later = kind.turn_tokens + double{0} + kind.mean_output;
    const double uncached =
        (std::max(0.0, first_prompt) + (kind.mean_turns - 1.0) * later) / kind.mean_turns;
    const double batch = static_cast<double>(engine.max_running);
    const double token_seconds = (static_cast<double>(engine.step_time.count()) / batch +
                                  static_cast<double>(engine.step_time_per_request.count())) /
                                 1e6;
    return uncached / engine.prefill_tokens_per_second + kind.mean_output * token_seconds;
}

struct generator {
    const deployment& system;
    const workload_options& options;
    seeded_random random;
    std::vector<model_request> requests;
    std::uint64_t next_session = 1;

    void add_session(std::size_t service, std::size_t customer, double start) {
        const request_class& kind = pick_class(system.services[service], random);
        const std::uint64_t session = next_session++;
        auto prompt = static_cast<std::uint32_t>(
            kind.min_prompt + random.below(kind.max_prompt - kind.min_prompt + 1));
        double when = start;
        std::uint32_t known = kind.shared_tokens;
        do {
            model_request request;
            request.service = service;
            request.customer = customer;
            request.session = session;
            request.shared_tokens = kind.shared_tokens;
            request.prompt_tokens = prompt;
            request.known_tokens = std::min(known, prompt);
            request.output_tokens = at_least_one(exponential(random, kind.mean_output));
            request.priority = kind.priority;
            request.arrival = time_point(to_micros(when));
            request.first_piece_due = request.arrival + kind.first_piece_target;
            requests.push_back(request);
            known = prompt + request.output_tokens;
            prompt += request.output_tokens + kind.turn_tokens;
            when += exponential(random, static_cast<double>(kind.mean_pause.count()) / 1e6);
        } while (random.uniform() > 1.0 / kind.mean_turns &&
                 when < static_cast<double>(options.duration.count()) / 1e6);
    }

    void add_arrivals(std::size_t service, std::size_t customer, double sessions_per_second) {
        const double end = static_cast<double>(options.duration.count()) / 1e6;
        const bool bursts = static_cast<int>(customer) == options.burst_customer;
        double now = 0.0;
        double period_end = 0.0;
        double factor = busy_factor;
        while (now < end) {
            if (now >= period_end) {
                factor = factor == busy_factor ? quiet_factor : busy_factor;
                period_end = now + exponential(random, period_seconds);
            }
            double rate = sessions_per_second * factor;
            if (bursts && now > end / 3 && now < 2 * end / 3) {
                rate *= options.burst_factor;
            }
            now += exponential(random, 1.0 / rate);
            if (now < end) {
                add_session(service, customer, now);
            }
        }
    }
};

} // namespace

deployment frio_solidario() {
    deployment system;
    system.name = "frio-solidario";
    request_class diagnosis;
    diagnosis.shared_tokens = 1'024;
    diagnosis.min_prompt = 5'000;
    diagnosis.max_prompt = 14'000;
    diagnosis.mean_output = 150;
    diagnosis.mean_turns = 8.0;
    diagnosis.first_piece_target = micros(2'000'000);
    request_class dispatch;
    dispatch.shared_tokens = 64;
    dispatch.mean_output = 40;
    dispatch.priority = 1;
    system.services = {{"diagnosis", 20, {diagnosis}, {}}, {"dispatch", 4, {dispatch}, {}}};
    system.customer_shares = {4.0, 3.0, 1.0, 1.0, 1.0};
    return system;
}

deployment dunajsky_pristav() {
    deployment system;
    system.name = "dunajsky-pristav";
    request_class dossier;
    dossier.shared_tokens = 512;
    dossier.min_prompt = 6'000;
    dossier.max_prompt = 16'000;
    dossier.mean_output = 200;
    dossier.mean_turns = 5.0;
    dossier.first_piece_target = micros(2'000'000);
    dossier.part = 0.25;
    request_class question;
    question.shared_tokens = 512;
    question.min_prompt = 600;
    question.max_prompt = 1'000;
    question.mean_output = 60;
    question.priority = 1;
    question.part = 0.75;
    request_class billing;
    billing.shared_tokens = 64;
    billing.mean_output = 30;
    billing.priority = 1;
    system.services = {{"assistant", 12, {dossier, question}, {}}, {"billing", 4, {billing}, {}}};
    system.customer_shares = {4.0, 3.0, 1.0, 1.0, 1.0};
    return system;
}

double nominal_capacity(const service_model& service) {
    double seconds = 0.0;
    double calls = 0.0;
    for (const request_class& kind : service.classes) {
        seconds += kind.part * kind.mean_turns * call_seconds(service.engine, kind);
        calls += kind.part * kind.mean_turns;
    }
    return calls / seconds;
}

std::vector<model_request> make_workload(const deployment& system,
                                         const workload_options& options) {
    generator maker{system, options, seeded_random(options.seed), {}, 1};
    double shares = 0.0;
    for (const double share : system.customer_shares) {
        shares += share;
    }
    for (std::size_t service = 0; service < system.services.size(); ++service) {
        const service_model& of = system.services[service];
        double calls_per_session = 0.0;
        for (const request_class& kind : of.classes) {
            calls_per_session += kind.part * kind.mean_turns;
        }
        const double calls = options.load * nominal_capacity(of) * static_cast<double>(of.engines);
        for (std::size_t customer = 0; customer < system.customer_shares.size(); ++customer) {
            const double part = system.customer_shares[customer] / shares;
            maker.add_arrivals(service, customer, calls * part / calls_per_session);
        }
    }
    std::stable_sort(maker.requests.begin(), maker.requests.end(),
                     [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    for (std::size_t i = 0; i < maker.requests.size(); ++i) {
        maker.requests[i].number = i;
    }
    return std::move(maker.requests);
}

} // namespace jujubetide::model
