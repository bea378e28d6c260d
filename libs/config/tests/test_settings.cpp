#include "examples.h"

#include <config/settings.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::config;

TEST_CASE("example settings of gateways parse") {
    for (const auto* name : {"gateway-1.yaml", "gateway-2.yaml"}) {
        const auto parsed = parse_gateway_settings(read_example(name));
        REQUIRE(std::holds_alternative<gateway_settings>(parsed));
    }
    const auto settings =
        std::get<gateway_settings>(parse_gateway_settings(read_example("gateway-1.yaml")));
    CHECK(settings.node.node_address == "127.0.0.1:19301");
    CHECK(settings.node.key_value_endpoints == std::vector<std::string>{"127.0.0.1:19001"});
    CHECK(settings.caller_threads == 64);
    CHECK(settings.node.level == log_level::info);
    CHECK_FALSE(settings.tls_certificate);
}

TEST_CASE("example settings of agents parse") {
    for (const auto* name :
         {"agent-engine-1.yaml", "agent-engine-2.yaml", "agent-booking-1.yaml"}) {
        const auto parsed = parse_agent_settings(read_example(name));
        REQUIRE(std::holds_alternative<agent_settings>(parsed));
        CHECK(std::string(name) ==
              "agent-" + std::get<agent_settings>(parsed).backend_server + ".yaml");
    }
}

TEST_CASE("settings report all faults at once with their places") {
    const auto parsed = parse_gateway_settings("node_address: localhost:1\n"
                                               "data_centre: a\n"
                                               "data_centre: b\n"
                                               "operators_listen: 127.0.0.1:70000\n"
                                               "key_value_endpoints: []\n"
                                               "caller_threads: 64k\n"
                                               "log_level: loud\n"
                                               "colour: red\n");
    const auto& faults = std::get<std::vector<config_fault>>(parsed);
    std::vector<std::pair<std::size_t, config_fault_kind>> found;
    found.reserve(faults.size());
    for (const auto& fault : faults) {
        found.emplace_back(fault.line, fault.kind);
    }
    using kind = config_fault_kind;
    CHECK(found == std::vector<std::pair<std::size_t, kind>>{{1, kind::missing_field},
                                                             {1, kind::bad_address},
                                                             {3, kind::duplicate},
                                                             {4, kind::bad_address},
                                                             {5, kind::out_of_bounds},
                                                             {6, kind::bad_unit},
                                                             {7, kind::bad_value},
                                                             {8, kind::unknown_field}});
}

TEST_CASE("an agent's settings are not a gateway's") {
    const auto parsed = parse_gateway_settings(read_example("agent-engine-1.yaml"));
    CHECK(std::holds_alternative<std::vector<config_fault>>(parsed));
}
