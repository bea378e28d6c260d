#include <node/status_sections.h>

#include <config/configuration_service.h>
#include <delivery/quarantine.h>
#include <keys/key_service.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>
#include <node/operator_service.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace camphorgrade {

namespace {

using nlohmann::json;

std::string hex(const delivery::fingerprint& content) {
    std::string text;
    for (const auto byte : content.bytes) {
        std::array<char, 3> digits{};
        std::snprintf(digits.data(), digits.size(), "%02x", byte);
        text += digits.data();
    }
    return text;
}

std::optional<delivery::fingerprint> from_hex(const std::string& text) {
    delivery::fingerprint content;
    if (text.size() != 2 * delivery::fingerprint::size) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < content.bytes.size(); ++i) {
        const char* const begin = text.data() + 2 * i;
        const auto parsed = std::from_chars(begin, begin + 2, content.bytes[i], 16);
        if (parsed.ec != std::errc{} || parsed.ptr != begin + 2) {
            return std::nullopt;
        }
    }
    return content;
}

json describe_nodes(const membership::membership_service& nodes) {
    json list = json::array();
    for (const auto& each : nodes.nodes()) {
        const bool is_gateway = each.role == membership::node_role::gateway;
        const bool leaving = each.state == membership::node_state::leaving;
        list.push_back({{"address", each.address.value()},
                        {"incarnation", each.life.value()},
                        {"role", is_gateway ? "gateway" : "agent"},
                        {"data_centre", each.data_centre},
                        {"backend_server", each.backend_server},
                        {"leaving", leaving}});
    }
    return list;
}

json describe_standing(const membership::standing_service& standing, time_point now) {
    json witnesses = json::array();
    for (const auto& each : standing.record().witnesses) {
        witnesses.push_back(each.address.value());
    }
    return {{"has_standing", standing.has_standing(now)},
            {"epoch", standing.epoch()},
            {"generation", standing.generation()},
            {"witnesses", witnesses}};
}

json describe_configuration(const config::configuration_service& configuration) {
    const auto status = configuration.status();
    return {{"revision", status.revision},
            {"newest_heard", status.newest_heard},
            {"watcher", status.watcher},
            {"store_in_contact", status.store_in_contact},
            {"refused_revision", status.fault ? json(status.fault->revision) : json(nullptr)}};
}

json describe_keys(const keys::key_service& keys, const membership::standing_service& standing) {
    const auto status = keys.status();
    json holders = json::array();
    for (const auto& each : standing.holders(keys.withdrawal_count())) {
        holders.push_back(each.value());
    }
    return {{"given", status.records},
            {"withdrawn", status.withdrawn},
            {"withdrawals_not_yet_stored", status.unwritten},
            {"witnesses_that_hold_all", holders},
            {"held_by_majority", standing.held_by_majority(keys.withdrawal_count())}};
}

json describe_quarantine(const delivery::quarantine& quarantine, time_point now) {
    json list = json::array();
    for (const auto& each : quarantine.list(now)) {
        const bool refused = each.standing.verdict == delivery::quarantine_verdict::refuse;
        list.push_back({{"fingerprint", hex(each.suspect.content)},
                        {"client_account", each.suspect.client_account},
                        {"service", each.suspect.service},
                        {"deaths", each.deaths},
                        {"refused", refused},
                        {"ends_in_ms", each.standing.ends_in.count()}});
    }
    return list;
}

} // namespace

void add_common_sections(micro_kernel& kernel) {
    auto& operators = kernel.find<operator_service>("operators");
    auto& nodes = kernel.find<membership::membership_service>("membership");
    auto& standing = kernel.find<membership::standing_service>("standing");
    auto& configuration = kernel.find<config::configuration_service>("configuration");
    auto& quarantine = kernel.find<delivery::quarantine>("quarantine");
    operators.add_section("node", [&kernel](time_point /*now*/) {
        return json{{"address", kernel.self().value()}, {"incarnation", kernel.life().value()}};
    });
    operators.add_section("nodes", [&](time_point /*now*/) { return describe_nodes(nodes); });
    operators.add_section("standing",
                          [&](time_point now) { return describe_standing(standing, now); });
    operators.add_section(
        "configuration", [&](time_point /*now*/) { return describe_configuration(configuration); });
    operators.add_section("quarantine",
                          [&](time_point now) { return describe_quarantine(quarantine, now); });
    auto& keys = kernel.find<keys::key_service>("keys");
    operators.add_section("keys",
                          [&](time_point /*now*/) { return describe_keys(keys, standing); });
    operators.add_gauges([&](metrics& all, time_point now) {
        all.set("camphor_configuration_revision", {},
                static_cast<double>(configuration.revision()));
        all.set("camphor_has_standing", {}, standing.has_standing(now) ? 1 : 0);
        all.set("camphor_known_nodes", {}, static_cast<double>(nodes.nodes().size()));
        all.set("camphor_quarantined_requests", {},
                static_cast<double>(quarantine.list(now).size()));
    });
    operators.add_command("withdraw-key", [&](const std::string& id, step& now) {
        const bool taken = keys.withdraw(id, now) != keys::key_merge::malformed;
        standing.probe_now(now);
        return taken;
    });
    operators.add_command("lift-quarantine", [&](const std::string& argument, step& now) {
        const auto content = from_hex(argument);
        return content && quarantine.lift(*content, now);
    });
}

} // namespace camphorgrade
