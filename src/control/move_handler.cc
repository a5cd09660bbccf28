#include "control/move_handler.h"

#include "control/answers.h"
#include "control/control_events.h"
#include "control/move_check.h"
#include "control/move_codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>

namespace jujubetide {
namespace {

using nlohmann::json;

constexpr std::size_t default_audit_limit = 200;
constexpr std::size_t most_audit_limit = 1000;

json to_json(const version_move& move) {
    return json::parse(tell_move(move));
}

std::size_t number_param(const httplib::Request& request, const std::string& name,
                         std::size_t absent) {
    std::size_t value = 0;
    return absl::SimpleAtoi(request.get_param_value(name.c_str()), &value) ? value : absent;
}

std::string service_path(const service_settings& service) {
    return absl::StrCat("/teams/", service.team.str(), "/services/", service.id.str());
}

std::int64_t to_number(wall_time time) {
    return time.time_since_epoch().count();
}

/// A plan needs no id.
version_move move_from_request(const json& body) {
    version_move move;
    move.id = move_id(body.value("id", ""));
    move.service = service_id(body.at("service").get<std::string>());
    move.to = version_id(body.at("to").get<std::string>());
    move.due = wall_time(millis(body.at("due_ms").get<std::int64_t>()));
    return move;
}

std::optional<version_move> known_move(const move_board& moves, const move_id& id) {
    for (const version_move& move : moves.all()) {
        if (move.id == id) {
            return move;
        }
    }
    return std::nullopt;
}

} // namespace

void move_handler::add_routes(httplib::Server& routes) {
    routes.Post("/v1/moves",
                [this](const auto& request, auto& response) { start(request, response); });
    routes.Post("/v1/moves/plan",
                [this](const auto& request, auto& response) { plan(request, response); });
    routes.Get("/v1/moves",
               [this](const auto& request, auto& response) { list(request, response); });
    routes.Post(R"(/v1/moves/([A-Za-z0-9._-]+)/take_back)",
                [this](const auto& request, auto& response) { take_back(request, response); });
    routes.Get(R"(/v1/moves/audit/([A-Za-z0-9._-]+))",
               [this](const auto& request, auto& response) { audit(request, response); });
}

std::optional<move_handler::asked_move>
move_handler::read_asked(const httplib::Request& request, httplib::Response& response) const {
    const auto person = gate_.admit(request, response);
    if (!person) {
        return std::nullopt;
    }
    asked_move asked;
    asked.actor = {person->id.str(), "", parts_.time.wall_now()};
    asked.settings = parts_.boards.settings.current();
    try {
        const json body = json::parse(request.body);
        asked.move = move_from_request(body);
        asked.actor.comment = body.value("comment", "");
        asked.anyway = body.value("anyway", false);
    } catch (const json::exception& error) {
        set_bad_request(response, error.what());
        return std::nullopt;
    }
    const service_settings* service =
        visible_service(*asked.settings, *person, asked.move.service, response);
    if (service == nullptr) {
        return std::nullopt;
    }
    asked.move.from = service->version;
    asked.move.start = asked.actor.at;
    return asked;
}

void move_handler::plan(const httplib::Request& request, httplib::Response& response) {
    const auto asked = read_asked(request, response);
    if (!asked) {
        return;
    }
    const absl::Status possible = check_start(asked->move, *asked->settings, std::nullopt);
    if (!possible.ok()) {
        return set_error(response, possible);
    }
    const double rate = parts_.traffic.request_rate(asked->move.service);
    const move_plan plan = plan_of(asked->move, parts_.boards, rate);
    const absl::Status met = check_plan(asked->move, plan, rate);
    json steps = json::array();
    for (const move_plan_step& step : plan.steps) {
        steps.push_back({{"share", step.share}, {"at_ms", to_number(step.planned_at)}});
    }
    json answer{{"service", asked->move.service.str()},
                {"from", asked->move.from.str()},
                {"to", asked->move.to.str()},
                {"due_ms", to_number(asked->move.due)},
                {"feasible", plan.feasible},
                {"detail", std::string(met.message())},
                {"request_rate", rate},
                {"planned_end_ms", to_number(plan.planned_end)},
                {"steps", steps}};
    if (rate > 0.0) {
        answer["earliest_due_ms"] = to_number(plan.earliest_due);
    }
    set_json(response, answer);
}

void move_handler::start(const httplib::Request& request, httplib::Response& response) {
    const auto asked = read_asked(request, response);
    if (!asked) {
        return;
    }
    const version_move& move = asked->move;
    if (move.id.empty()) {
        return set_bad_request(response, "the move has no id");
    }
    const auto previous = parts_.moves.find(move.service);
    if (!previous.ok()) {
        return set_error(response, previous.status());
    }
    if (*previous && (*previous)->move.id == move.id) {
        return set_json(response, to_json((*previous)->move));
    }
    absl::Status status = check_start(move, *asked->settings,
                                      *previous ? std::optional((*previous)->move) : std::nullopt);
    if (status.ok() && !asked->anyway) {
        const double rate = parts_.traffic.request_rate(move.service);
        status = check_plan(move, plan_of(move, parts_.boards, rate), rate);
    }
    if (status.ok()) {
        status = parts_.moves.start(move, asked->actor);
    }
    if (!status.ok()) {
        return set_error(response, status);
    }
    parts_.facts.move(move);
    parts_.log.write(move_started, {{"move", move.id.str()},
                                    {"service", move.service.str()},
                                    {"to", move.to.str()},
                                    {"operator", asked->actor.name}});
    set_json(response, to_json(move), 201);
}

void move_handler::list(const httplib::Request& request, httplib::Response& response) {
    const auto person = gate_.admit(request, response);
    if (!person) {
        return;
    }
    const auto stored = parts_.moves.list();
    std::vector<version_move> moves;
    if (stored.ok()) {
        for (const stored_move& entry : *stored) {
            moves.push_back(entry.move);
        }
    } else {
        moves = parts_.boards.moves.all();
    }
    const snapshot_ptr settings = parts_.boards.settings.current();
    json shown = json::array();
    for (const version_move& move : moves) {
        const service_settings* service = settings->find_service(move.service);
        if (service != nullptr && covers(*person, service_path(*service))) {
            shown.push_back(to_json(move));
        }
    }
    set_json(response, {{"source", stored.ok() ? "table" : "memory"}, {"moves", shown}});
}

// Stopping the traffic is safe without the table and comes first; the table then records the end.
void move_handler::take_back(const httplib::Request& request, httplib::Response& response) {
    const auto person = gate_.admit(request, response);
    if (!person) {
        return;
    }
    const move_id id(request.matches[1].str());
    const std::optional<version_move> known = known_move(parts_.boards.moves, id);
    if (!known) {
        return set_error(response, absl::NotFoundError(absl::StrCat("no service's newest move is '",
                                                                    id.str(), "'")));
    }
    const snapshot_ptr settings = parts_.boards.settings.current();
    if (visible_service(*settings, *person, known->service, response) == nullptr) {
        return;
    }
    const std::string evidence = "taken back by operator " + person->id.str();
    stop_traffic(*known, evidence);
    const move_actor actor{person->id.str(), request.body, parts_.time.wall_now()};
    const auto ended = parts_.moves.take_back(known->service, id, evidence, actor);
    parts_.log.write(move_taken_back, {{"move", id.str()},
                                       {"operator", person->id.str()},
                                       {"recorded", ended.ok() ? "true" : "false"}});
    if (ended.ok()) {
        parts_.facts.move(*ended);
        return set_json(response, to_json(*ended));
    }
    if (absl::IsUnavailable(ended.status()) || absl::IsDeadlineExceeded(ended.status())) {
        return set_json(response,
                        {{"id", id.str()},
                         {"state", "stopped"},
                         {"detail", "traffic is stopped; the table could not record the end yet: " +
                                        std::string(ended.status().message())}},
                        202);
    }
    set_error(response, ended.status());
}

void move_handler::audit(const httplib::Request& request, httplib::Response& response) {
    const auto person = gate_.admit(request, response);
    if (!person) {
        return;
    }
    const service_id service(request.matches[1].str());
    const snapshot_ptr settings = parts_.boards.settings.current();
    if (visible_service(*settings, *person, service, response) == nullptr) {
        return;
    }
    const auto records = parts_.moves.audit(
        service, number_param(request, "skip", 0),
        std::min(number_param(request, "limit", default_audit_limit), most_audit_limit));
    if (!records.ok()) {
        return set_error(response, records.status());
    }
    json shown = json::array();
    for (const move_audit_record& record : *records) {
        shown.push_back(json::parse(encode_move_audit(record)));
    }
    set_json(response, {{"records", shown}});
}

const service_settings* move_handler::visible_service(const settings_snapshot& settings,
                                                      const operator_settings& person,
                                                      const service_id& service,
                                                      httplib::Response& response) const {
    const service_settings* found = settings.find_service(service);
    if (found == nullptr) {
        set_error(response, absl::NotFoundError(absl::StrCat("no service '", service.str(), "'")));
        return nullptr;
    }
    if (!covers(person, service_path(*found))) {
        set_error(response,
                  absl::PermissionDeniedError(absl::StrCat(
                      "operator '", person.id.str(), "' may not write ", service_path(*found))));
        return nullptr;
    }
    return found;
}

void move_handler::stop_traffic(const version_move& known, const std::string& evidence) {
    if (is_ended(known)) {
        return;
    }
    version_move stopped = known;
    stopped.state = move_state::taken_back;
    stopped.share = 0.0;
    stopped.step = known.step.next();
    stopped.evidence = evidence;
    parts_.facts.move(stopped);
}

} // namespace jujubetide
