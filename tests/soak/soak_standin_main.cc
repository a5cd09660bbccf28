// The stand-ins of soaks as processes: `soak-standin engine|caller|proxy NAME=VALUE...`.
#include "soak/soak_caller.h"
#include "soak/soak_engine.h"
#include "soak/soak_options.h"
#include "soak/soak_proxy.h"

#include <absl/strings/str_split.h>

#include <csignal>
#include <iostream>

using namespace jujubetide;

namespace {

void serve(event_loop& loop, const std::string& address) {
    std::cout << "listening " << address << std::endl;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
}

int run_engine(event_loop& loop, const soak_options& options, const soak_report& report) {
    soak_engine_settings settings;
    settings.id = options.text("id");
    settings.listen = *parse_endpoint(options.text("listen"));
    settings.streams = options.number("streams", 0) != 0;
    settings.seed = options.number("seed", settings.seed);
    settings.slots = options.number("slots", settings.slots);
    settings.queue = options.number("queue", settings.queue);
    settings.max_connections = options.number("connections", settings.max_connections);
    settings.drops = options.number("drops", 1) != 0;
    settings.copies_percent = options.number("copies", settings.copies_percent);
    settings.own_copies = options.number("own_copies", 1) != 0;
    settings.refusals_percent = options.number("refusals", settings.refusals_percent);
    settings.faults_permille = options.number("faults", settings.faults_permille);
    settings.idle = millis(options.number("idle_ms", 1'500));
    const auto engine = soak_engine::make(loop, settings, report);
    if (!engine.ok()) {
        std::cerr << engine.status().message() << '\n';
        return 1;
    }
    serve(loop, settings.listen.str());
    return 0;
}

int run_caller(event_loop& loop, const soak_options& options, const soak_report& report) {
    soak_caller_settings settings;
    settings.name = options.text("name");
    for (const auto node : absl::StrSplit(options.text("nodes"), ',', absl::SkipEmpty())) {
        settings.nodes.push_back(*parse_endpoint(std::string(node)));
    }
    settings.routes = absl::StrSplit(options.text("routes"), ',', absl::SkipEmpty());
    settings.connections = options.number("connections", settings.connections);
    settings.seed = options.number("seed", settings.seed);
    const auto caller = soak_caller::make(loop, settings, report);
    if (!caller.ok()) {
        std::cerr << caller.status().message() << '\n';
        return 1;
    }
    loop.on_signal(SIGUSR1, [&caller] { (*caller)->stop(); });
    serve(loop, settings.nodes.front().str());
    return 0;
}

int run_proxy(event_loop& loop, const soak_options& options) {
    std::vector<std::unique_ptr<soak_proxy>> proxies;
    std::uint64_t seed = options.number("seed", 1);
    for (const auto path : absl::StrSplit(options.text("paths"), ',', absl::SkipEmpty())) {
        const std::vector<std::string> ends = absl::StrSplit(path, '/');
        auto proxy = soak_proxy::make(loop, *parse_endpoint(ends.at(0)),
                                      *parse_endpoint(ends.at(1)), ++seed);
        if (!proxy.ok()) {
            std::cerr << proxy.status().message() << '\n';
            return 1;
        }
        proxies.push_back(std::move(*proxy));
    }
    // SIGUSR1 loses all paths with their connections, SIGHUP only stalls these, SIGUSR2 ends it.
    loop.on_signal(SIGUSR1, [&proxies] {
        for (const auto& proxy : proxies) {
            proxy->lose(true);
        }
    });
    loop.on_signal(SIGHUP, [&proxies] {
        for (const auto& proxy : proxies) {
            proxy->lose(false);
        }
    });
    loop.on_signal(SIGUSR2, [&proxies] {
        for (const auto& proxy : proxies) {
            proxy->restore();
        }
    });
    serve(loop, options.text("paths").substr(0, options.text("paths").find('/')));
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    (void)std::signal(SIGPIPE, SIG_IGN);
    const std::string role = argc > 1 ? argv[1] : "";
    const soak_options options(argc, argv);
    const soak_report report(static_cast<int>(options.number("report", 2)));
    event_loop loop;
    if (role == "engine") {
        return run_engine(loop, options, report);
    }
    if (role == "caller") {
        return run_caller(loop, options, report);
    }
    if (role == "proxy") {
        return run_proxy(loop, options);
    }
    std::cerr << "soak-standin engine|caller|proxy NAME=VALUE...\n";
    return 1;
}
