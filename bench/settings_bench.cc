// Processor time of settings at a given number of documents: a load, decoding of a peer's message,
// and a change through the store over a table in memory. Prints one JSON line for each size.
#include "support/fake_table.h"

#include "jujubetide/settings/settings_codec.h"
#include "jujubetide/settings/settings_store.h"

#include <ctime>
#include <iostream>

using namespace jujubetide;

namespace {

constexpr int repeats = 5;

std::string backend_text(int number) {
    return "service: diagnosis\nversion: v1\naddress: 10.0." + std::to_string(number / 200) + "." +
           std::to_string(number % 200) + ":8000\nhost: host-" + std::to_string(number) +
           "\nfailure_domain: ar-centro-a\nprice_micro: 400000\n";
}

settings_change first_change(int backends) {
    settings_change change{change_id("first"), operator_id("ana"), {}, {}, {}, ""};
    change.edits["/teams/frio/services/diagnosis"] =
        "kind: model\nversion: v1\nroutes: [{id: notes}]\n";
    for (int i = 0; i < backends; ++i) {
        change.edits["/teams/frio/backends/engine-" + std::to_string(i)] = backend_text(i);
    }
    return change;
}

template <class Function>
double mean_cpu_ms(Function&& function) {
    const std::clock_t begin = std::clock();
    for (int i = 0; i < repeats; ++i) {
        function(i);
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    return seconds * 1000.0 / repeats;
}

bool measure(int backends) {
    fake_table rows;
    settings_store store(rows);
    const auto first = store.apply(first_change(backends));
    if (!first.ok()) {
        std::cerr << first.status().message() << '\n';
        return false;
    }
    const std::string message = encode_settings(**first);
    const double load = mean_cpu_ms([&](int) { (void)store.load(); });
    const double decode = mean_cpu_ms([&](int) { (void)decode_settings(message); });
    const double change = mean_cpu_ms([&](int i) {
        settings_change next{change_id("c" + std::to_string(i)),
                             operator_id("ana"),
                             revision(static_cast<std::uint64_t>(i) + 1),
                             {{"/teams/frio/backends/engine-0",
                               backend_text(0) + "max_running: " + std::to_string(i + 1) + "\n"}},
                             {},
                             ""};
        (void)store.apply(next);
    });
    const auto last = store.load();
    if (!last.ok() || (*last)->at() != revision{repeats + 1}) {
        std::cerr << "not every change was accepted\n";
        return false;
    }
    std::cout << "{\"documents\": " << backends + 1 << ", \"message_bytes\": " << message.size()
              << ", \"delta_bytes\": " << encode_settings_delta(**first, **last).size()
              << ", \"load_cpu_ms\": " << load << ", \"decode_cpu_ms\": " << decode
              << ", \"change_cpu_ms\": " << change << "}\n";
    return true;
}

} // namespace

int main() {
    for (const int backends : {100, 600, 1200}) {
        if (!measure(backends)) {
            return 1;
        }
    }
    return 0;
}
