#include "entry/model_call.h"

#include "jujubetide/settings/settings_snapshot.h"

#include <catch2/catch.hpp>

namespace jujubetide {
namespace {

snapshot_ptr settings_with_two_routes() {
    service_settings service;
    service.team = team_id("frio");
    service.id = service_id("diagnosis");
    service.routes.resize(2);
    service.routes[0].id = route_id("notes");
    service.routes[1].id = route_id("summary");
    service_settings plain;
    plain.team = team_id("frio");
    plain.id = service_id("dispatch");
    plain.kind = service_kind::plain;
    settings_snapshot::parts parts;
    parts.services = {service, plain};
    return settings_snapshot::make(std::move(parts));
}

} // namespace

TEST_CASE("model names a service and a route of it") {
    const snapshot_ptr settings = settings_with_two_routes();
    for (const char* model : {"diagnosis", "frio/diagnosis", "diagnosis/notes"}) {
        INFO(model);
        const auto target = find_model_target(*settings, model);
        REQUIRE(target);
        CHECK(target->route->id == route_id("notes"));
    }
    for (const char* model : {"diagnosis/summary", "frio/diagnosis/summary"}) {
        INFO(model);
        const auto target = find_model_target(*settings, model);
        REQUIRE(target);
        CHECK(target->route->id == route_id("summary"));
    }
}

TEST_CASE("a model that names no route of a model service is refused") {
    const snapshot_ptr settings = settings_with_two_routes();
    for (const char* model : {"", "notes", "dispatch", "other/diagnosis", "diagnosis/missing",
                              "frio/diagnosis/summary/more", "frio/", "/"}) {
        INFO(model);
        CHECK_FALSE(find_model_target(*settings, model));
    }
}

} // namespace jujubetide
