#include "entry/settings_watch.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace jujubetide;

namespace {

/// Keeps the lines as `NUMBER FIELD=VALUE`.
class kept_log final : public log_sink {
public:
    std::vector<std::string> lines;

protected:
    void do_write(const log_event& event, std::initializer_list<log_field> fields) override {
        std::string line = std::to_string(event.number);
        for (const log_field& field : fields) {
            line += " " + std::string(field.name) + "=" + std::string(field.value);
        }
        lines.push_back(line);
    }
};

snapshot_ptr settings_at(std::uint64_t number) {
    settings_snapshot::parts parts;
    parts.at = revision(number);
    return settings_snapshot::make(std::move(parts));
}

} // namespace

TEST_CASE("each newer revision in force is logged once") {
    settings_board board;
    kept_log log;
    settings_watch watch(board, log);
    watch.look();
    board.offer(settings_at(0));
    watch.look();
    CHECK(log.lines.empty());
    board.offer(settings_at(2));
    watch.look();
    watch.look();
    board.offer(settings_at(5));
    watch.look();
    CHECK(log.lines == std::vector<std::string>{"4003 revision=2", "4003 revision=5"});
}
