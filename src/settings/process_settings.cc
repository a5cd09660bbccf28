#include "jujubetide/settings/process_settings.h"

#include "settings/process_reader.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace jujubetide {
namespace {

constexpr std::int64_t least_threads = 4;
constexpr std::int64_t most_threads = 4096;
constexpr std::int64_t least_memory_mb = 64;
constexpr std::int64_t most_memory_mb = 1 << 20;
constexpr millis most_drain{600'000};
constexpr millis least_lifetime{100};
constexpr millis most_lifetime{3'600'000};
constexpr millis least_poll{100};

} // namespace

process_settings read_process(yaml_reader& reader) {
    process_settings settings;
    reader.id("node", settings.node, presence::required);
    reader.id("host", settings.host, presence::required);
    reader.id("failure_domain", settings.failure_domain, presence::required);
    reader.id("region", settings.region, presence::required);
    reader.address("listen", settings.listen, 0, presence::required);
    reader.address("peer_listen", settings.peer_listen, 0, presence::required);
    reader.address("platform", settings.platform, 1, presence::required);
    reader.addresses("seeds", settings.seeds);
    reader.whole("http_threads", settings.http_threads, least_threads, most_threads);
    reader.whole("memory_mb", settings.memory_mb, least_memory_mb, most_memory_mb);
    reader.duration("drain_timeout_ms", settings.drain_timeout, millis{0}, most_drain);
    reader.duration("entries_lifetime_ms", settings.entries_lifetime, least_lifetime,
                    most_lifetime);
    reader.duration("settings_poll_ms", settings.settings_poll, least_poll, most_lifetime);
    reader.key_hash("bootstrap_operator_key_sha256", settings.bootstrap_operator_key_sha256,
                    presence::optional);
    reader.end();
    return settings;
}

absl::StatusOr<process_settings> load_process_settings(const std::string& file) {
    const std::ifstream input(file);
    if (!input) {
        return absl::NotFoundError(absl::StrCat("cannot read '", file, "'"));
    }
    std::ostringstream text;
    text << input.rdbuf();
    findings found;
    process_settings settings;
    const YAML::Node map = parse_yaml_map(text.str(), file, found);
    if (map.IsMap()) {
        yaml_reader reader(map, file, "", found);
        settings = read_process(reader);
    }
    if (!found.empty()) {
        return found.to_status();
    }
    return settings;
}

} // namespace jujubetide
