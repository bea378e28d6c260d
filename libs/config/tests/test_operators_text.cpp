#include "examples.h"

#include <config/operators_text.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::config;

namespace {

std::vector<config_fault> faults_of(const std::string& yaml) {
    const auto parsed = parse_operators_text(yaml);
    const auto* faults = std::get_if<std::vector<config_fault>>(&parsed);
    return faults == nullptr ? std::vector<config_fault>{} : *faults;
}

std::string replaced(std::string yaml, const std::string& from, const std::string& to) {
    const auto at = yaml.find(from);
    REQUIRE(at != std::string::npos);
    return yaml.replace(at, from.size(), to);
}

/** The only fault of the example with `from` replaced by `to`. */
config_fault fault_after(const std::string& from, const std::string& to) {
    const auto faults = faults_of(replaced(read_example("hljodvangur.yaml"), from, to));
    for (const auto& fault : faults) {
        INFO(to_string(fault));
        CHECK(fault.line > 0);
        CHECK(fault.column > 0);
    }
    REQUIRE(faults.size() == 1);
    return faults.front();
}

operators_text example(const std::string& name) {
    auto parsed = parse_operators_text(read_example(name));
    if (const auto* faults = std::get_if<std::vector<config_fault>>(&parsed)) {
        FAIL(to_string(faults->front()));
    }
    return std::get<operators_text>(std::move(parsed));
}

} // namespace

TEST_CASE("example texts parse and survive a round trip") {
    for (const auto* name : {"hljodvangur.yaml", "cal-y-suelo.yaml"}) {
        const operators_text text = example(name);
        const auto again = parse_operators_text(to_yaml(text));
        REQUIRE(std::holds_alternative<operators_text>(again));
        CHECK(std::get<operators_text>(again) == text);
        CHECK(to_yaml(std::get<operators_text>(again)) == to_yaml(text));
    }
}

TEST_CASE("adapters resolve by name and by name and version") {
    const operators_text text = example("hljodvangur.yaml");
    CHECK(text.resolve_adapter("concert-hall") == adapter_ref{"concert-hall", "v2"});
    CHECK(text.resolve_adapter("concert-hall@v1") == adapter_ref{"concert-hall", "v1"});
    CHECK_FALSE(text.resolve_adapter("concert-hall@v9"));
    CHECK_FALSE(text.resolve_adapter("concert-hall@"));
    CHECK_FALSE(text.resolve_adapter("concert-hall@v1@v1"));
    CHECK_FALSE(text.resolve_adapter("concert"));
    CHECK_FALSE(text.resolve_adapter(""));
    CHECK(text.service_of_adapter("concert-hall")->name == "acoustics-assistant");
    CHECK(text.service_of_adapter("absent") == nullptr);
}

TEST_CASE("items are found by name") {
    const operators_text text = example("cal-y-suelo.yaml");
    CHECK(text.find_service("spreader-slots")->kind == service_kind::plain);
    CHECK(text.find_service("spreader") == nullptr);
    CHECK(text.find_client_account("member-portal")->burst_tokens == 10000);
    CHECK(text.find_backend_server("engine-1")->checks_caller);
    CHECK(text.find_model("soil-base") != nullptr);
    CHECK(text.weigh() == deployment_weight::fairness);
    CHECK(text.store().loads_per_s == 3);
    CHECK(text.requests() == request_limits{});
}

TEST_CASE("calls that may not be repeated are told by method and whole path segments") {
    const operators_text text = example("cal-y-suelo.yaml");
    const service_spec& slots = *text.find_service("spreader-slots");
    CHECK_FALSE(slots.repeatable("POST", "/bookings"));
    CHECK_FALSE(slots.repeatable("POST", "/bookings/7"));
    CHECK(slots.repeatable("POST", "/bookings-search"));
    CHECK(slots.repeatable("GET", "/bookings"));
    CHECK(slots.repeatable("post", "/status"));
}

TEST_CASE("each kind of fault is found with its place") {
    using kind = config_fault_kind;
    CHECK(fault_after("weigh: load_stalls", "weigh: speed").kind == kind::bad_value);
    CHECK(fault_after("load_ms: 250", "load_ms: 250ms").kind == kind::bad_unit);
    CHECK(fault_after("load_ms: 250", "load_ms: -1").kind == kind::bad_number);
    CHECK(fault_after("load_ms: 250", "load_ms: 0").kind == kind::out_of_bounds);
    CHECK(fault_after("load_ms: 250", "load_ms: 99999999999999999999").kind == kind::out_of_bounds);
    CHECK(fault_after("load_ms: 250", "load_time: 250").kind == kind::unknown_field);
    CHECK(fault_after("load_ms: 250", "load_ms: [1]").kind == kind::wrong_type);
    CHECK(fault_after("name: trial", "name: harpa-studio").kind == kind::duplicate);
    CHECK(fault_after("name: trial", "name: 'tri al'").kind == kind::bad_name);
    CHECK(fault_after("format: 1", "format: 2").kind == kind::unsupported_format);
    CHECK(fault_after("127.0.0.1:19101", "localhost:19101").kind == kind::bad_address);
    CHECK(fault_after("127.0.0.1:19101", "127.0.0.1:19102").kind == kind::duplicate);
    CHECK(fault_after("weigh: load_stalls\n", "").kind == kind::missing_field);
    CHECK(fault_after("default_version: v3", "default_version: v4").kind ==
          kind::dangling_dependency);
    CHECK(fault_after("services: [measurement-visits", "services: [visits").kind ==
          kind::dangling_dependency);
    CHECK(fault_after("services: [measurement-visits", "services: [acoustics-assistant").kind ==
          kind::conflict);
    CHECK(fault_after("default_max_tokens: 256", "default_max_tokens: 9999").kind ==
          kind::conflict);
    CHECK(fault_after("[POST]", "[post]").kind == kind::bad_value);
    CHECK(fault_after("[POST]", "[POST, POST]").kind == kind::duplicate);
    CHECK(fault_after("name: trial", "name: &a trial").kind == kind::syntax);
    CHECK(fault_after("name: trial", "name: !x trial").kind == kind::syntax);
    CHECK(fault_after("format: 1", "format: [").kind == kind::syntax);
}

TEST_CASE("a dependency cycle is reported where it closes") {
    const auto fault =
        fault_after("kind: plain\n    cost_tokens: 1\n", "kind: plain\n    depends_on:\n"
                                                         "      - {service: measurement-visits}\n");
    CHECK(fault.kind == config_fault_kind::dependency_cycle);
    CHECK(fault.detail.find("measurement-visits") != std::string::npos);
}

TEST_CASE("all faults are reported at once, in the order of their places") {
    std::string yaml = read_example("hljodvangur.yaml");
    yaml = replaced(yaml, "load_ms: 250", "load_ms: 250ms");
    yaml = replaced(yaml, "{service: room-reports}", "{service: reports}");
    yaml = replaced(yaml, "slots: 2", "slots: 0, colour: red");
    const auto faults = faults_of(yaml);
    REQUIRE(faults.size() == 4);
    CHECK(faults[0].kind == config_fault_kind::bad_unit);
    CHECK(faults[1].kind == config_fault_kind::dangling_dependency);
    CHECK(faults[1].path == "services[0].depends_on[0].service");
    CHECK(faults[2].kind == config_fault_kind::out_of_bounds);
    CHECK(faults[3].kind == config_fault_kind::unknown_field);
}

TEST_CASE("what is no map at all is refused") {
    CHECK_FALSE(faults_of("").empty());
    CHECK_FALSE(faults_of("- a").empty());
    CHECK_FALSE(faults_of(std::string(100'000, '[')).empty());
    CHECK_FALSE(faults_of(read_example("hljodvangur.yaml") + "---\n- again\n").empty());
}
