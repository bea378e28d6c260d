#include "examples.h"
#include "generators.h"

#include <config/availability.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace camphorgrade::config;

namespace {

class listed_liveness final : public backend_liveness {
public:
    bool is_up(const backend_server_spec& server) const override {
        return !down.contains(server.name);
    }

    std::set<std::string> down;
};

/** The definition, by recursion. */
bool is_available(const operators_text& text, const listed_liveness& liveness,
                  const std::string& name) {
    const service_spec& service = *text.find_service(name);
    bool served = false;
    for (const backend_server_spec& server : text.backend_servers()) {
        const bool runs =
            service.kind == service_kind::model
                ? server.kind == backend_kind::engine && server.model == service.model
                : std::count(server.services.begin(), server.services.end(), name) > 0;
        served = served || (runs && liveness.is_up(server));
    }
    for (const dependency& needed : service.depends_on) {
        served = served && is_available(text, liveness, needed.name);
    }
    return served;
}

} // namespace

TEST_CASE("a service is unavailable with what it depends on, and comes back") {
    const auto text =
        std::get<operators_text>(parse_operators_text(read_example("hljodvangur.yaml")));
    listed_liveness liveness;
    CHECK(dependency_view(text, liveness).unavailable().empty());

    liveness.down = {"engine-1"};
    CHECK(dependency_view(text, liveness).unavailable().empty());

    liveness.down = {"engine-1", "engine-2"};
    const dependency_view without_engines(text, liveness);
    CHECK(without_engines.unavailable().size() == 1);
    CHECK(to_string(*without_engines.why_unavailable("acoustics-assistant")) ==
          "all_down: model acoustics-base");
    CHECK(without_engines.why_unavailable("room-reports") == nullptr);

    liveness.down = {"booking-1"};
    const dependency_view without_booking(text, liveness);
    CHECK(without_booking.unavailable().size() == 4);
    CHECK(to_string(*without_booking.why_unavailable("acoustics-assistant")) ==
          "all_down: service room-reports");
    CHECK(without_booking.why_unavailable("measurement-visits")->chain.empty());

    liveness.down.clear();
    CHECK(dependency_view(text, liveness).unavailable().empty());
}

TEST_CASE("a service that no server runs is told apart from one whose servers are down") {
    operators_statement statement;
    statement.deployment = "d";
    statement.models = {{"base"}};
    service_spec lonely;
    lonely.name = "lonely";
    lonely.kind = service_kind::plain;
    service_spec user = lonely;
    user.name = "user";
    user.depends_on = {{dependency_kind::adapter, "adapter-0"}};
    statement.services = {lonely, user};
    backend_server_spec server;
    server.name = "s";
    server.address = "10.0.0.1:1";
    server.kind = backend_kind::plain;
    server.services = {"user"};
    statement.backend_servers = {server};
    const auto text = std::get<operators_text>(
        operators_text::create(std::move(statement), {{"adapter-0", "base", {"v1"}, "v1"}}));
    const dependency_view view(text, listed_liveness{});
    CHECK(to_string(*view.why_unavailable("lonely")) == "no_backend_server");
    CHECK(to_string(*view.why_unavailable("user")) ==
          "no_backend_server: adapter adapter-0, model base");
}

TEST_CASE("availability is what the dependencies say") {
    rc::prop("as defined by recursion", [] {
        const operators_text text = generate::text();
        listed_liveness liveness;
        for (const backend_server_spec& server : text.backend_servers()) {
            if (*rc::gen::arbitrary<bool>()) {
                liveness.down.insert(server.name);
            }
        }
        const dependency_view view(text, liveness);
        for (const service_spec& service : text.services()) {
            const bool available = view.why_unavailable(service.name) == nullptr;
            RC_ASSERT(available == is_available(text, liveness, service.name));
        }
    });
}
