#include "system_fleet.h"

#include <config/packed_text.h>
#include <keys/client_key.h>
#include <keys/key_record.h>

#include <nlohmann/json.hpp>

#include <sstream>
#include <stdexcept>
#include <utility>

namespace camphorgrade::testing {

namespace {

using nlohmann::json;

constexpr duration start_up{8'000};
constexpr duration poll{50};

std::string error_field(const std::string& body, const char* name) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("error")) {
        return "";
    }
    return parsed["error"].value(name, "");
}

keys::client_key test_key() {
    std::array<std::uint8_t, keys::key_id_bytes> id{};
    std::array<std::uint8_t, keys::key_secret_bytes> secret{};
    id.fill(0x11);
    secret.fill(0x22);
    return {id, secret};
}

void put(memory_store& store, const std::string& key, const std::string& value, time_point now) {
    store.apply(kv_txn{{}, {kv_put{key, value, 0}}, {}}, now);
}

} // namespace

std::string caller_view::error_type() const {
    return error_field(body, "type");
}

std::string caller_view::run() const {
    return error_field(body, "run");
}

system_fleet::system_fleet(std::uint64_t seed, const fleet_options& options)
    : cluster_(seed), servers_(cluster_), key_(test_key().spell()) {
    cluster_.answer_calls_with(&servers_);
    cluster_.observe([this](const node_id& node, const effect& seen) { watch(node, seen); });
    write_text(options);
    for (int i = 0; i < options.engines; ++i) {
        add_agent(engine_agent(i), "engine-" + std::to_string(i));
    }
    for (int i = 0; i < options.bookings; ++i) {
        add_agent(booking_agent(i), "booking-" + std::to_string(i));
    }
    for (int i = 0; i < options.gateways; ++i) {
        add_gateway(i);
    }
    cluster_.run_for(start_up);
}

node_id system_fleet::gateway(int number) const {
    return node_id{"10.0.0." + std::to_string(number + 1) + ":7000"};
}

node_id system_fleet::engine_agent(int number) const {
    return node_id{"10.0.1." + std::to_string(number + 1) + ":7000"};
}

node_id system_fleet::booking_agent(int number) const {
    return node_id{"10.0.2." + std::to_string(number + 1) + ":7000"};
}

std::string system_fleet::engine_endpoint(int number) const {
    return "10.0.1." + std::to_string(number + 1) + ":8000";
}

std::string system_fleet::booking_endpoint(int number) const {
    return "10.0.2." + std::to_string(number + 1) + ":8000";
}

std::string system_fleet::key_id() const {
    return test_key().id();
}

void system_fleet::write_text(const fleet_options& options) {
    std::ostringstream yaml;
    yaml << "format: 1\ndeployment: test\nweigh: load_stalls\nclient_accounts:\n"
         << "  - {name: designers, rate_tokens_per_s: " << options.rate_tokens_per_s
         << ", burst_tokens: " << options.burst_tokens << "}\n"
         << "models:\n  - {name: base}\nadapters:\n"
         << "  - {name: hall, model: base, versions: [v1, v2], default_version: v2}\n"
         << "  - {name: studio, model: base, versions: [v1], default_version: v1}\n"
         << "  - {name: plan, model: base, versions: [v1], default_version: v1}\n"
         << "services:\n"
         << "  - {name: assistant, kind: model, model: base, request_timeout_ms: 20000}\n"
         << "  - {name: booking, kind: plain, cost_tokens: 5, not_repeatable: [POST],\n"
         << "     request_timeout_ms: 10000}\nbackend_servers:\n";
    for (int i = 0; i < options.engines; ++i) {
        yaml << "  - {name: engine-" << i << ", address: \"" << engine_endpoint(i)
             << "\", kind: engine, model: base, slots: " << options.slots
             << ", data_centre: dc-1}\n";
    }
    for (int i = 0; i < options.bookings; ++i) {
        yaml << "  - {name: booking-" << i << ", address: \"" << booking_endpoint(i)
             << "\", kind: plain, services: [booking], data_centre: dc-1}\n";
    }
    const auto parsed = config::parse_operators_text(yaml.str());
    const auto* text = std::get_if<config::operators_text>(&parsed);
    if (text == nullptr) {
        throw std::runtime_error(
            to_string(std::get<std::vector<config::config_fault>>(parsed).front()));
    }
    auto& store = cluster_.store_state();
    const auto packed = config::pack(*text, 1, config::apply_id{"test"});
    for (const auto& [digest, bytes] : packed.chunks) {
        put(store, config::chunk_key(digest), bytes, cluster_.now());
    }
    put(store, std::string(config::head_key), config::encode(packed.head), cluster_.now());
    const auto record = keys::make_record(test_key(), "designers", {});
    put(store, std::string(keys::key_prefix) + record.id, keys::encode(record), cluster_.now());
}

void system_fleet::add_gateway(int number) {
    config::gateway_settings settings;
    settings.node.node_address = gateway(number).value();
    settings.node.data_centre = "dc-1";
    cluster_.add(gateway(number), [this, settings](micro_kernel& kernel) {
        gateway_parts_.push_back(std::make_unique<common_parts>());
        gateway_parts_.back()->operator_token = operator_token;
        gateway::add_gateway_services(kernel, settings, *gateway_parts_.back());
    });
}

void system_fleet::add_agent(const node_id& node, const std::string& backend_server) {
    config::agent_settings settings;
    settings.node.node_address = node.value();
    settings.node.data_centre = "dc-1";
    settings.backend_server = backend_server;
    cluster_.add(node, [this, settings](micro_kernel& kernel) {
        agent_parts_.push_back(std::make_unique<agent::agent_parts>());
        agent_parts_.back()->common.operator_token = operator_token;
        agent::add_agent_services(kernel, settings, *agent_parts_.back());
    });
}

std::uint64_t system_fleet::ask(int number, const std::string& path, const std::string& body,
                                http_headers headers) {
    const std::uint64_t id = ++last_request_;
    headers.push_back({"Authorization", "Bearer " + key_});
    answers_[id].asked = cluster_.now();
    asked_at_[id] = gateway(number);
    cluster_.post(gateway(number),
                  caller_arrived{"front", request_id{id}, {"POST", path, "", headers, body}});
    return id;
}

std::uint64_t system_fleet::complete(int number, const std::string& model,
                                     const std::string& prompt, int tokens, bool stream) {
    const json body{
        {"model", model}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
    return ask(number, "/v1/completions", body.dump());
}

std::uint64_t system_fleet::book(int number, const std::string& body,
                                 const std::string& idempotency_key) {
    http_headers headers;
    if (!idempotency_key.empty()) {
        headers.push_back({"Idempotency-Key", idempotency_key});
    }
    return ask(number, "/services/booking/bookings", body, headers);
}

void system_fleet::watch(const node_id& node, const effect& seen) {
    const auto* answered = std::get_if<answer_caller>(&seen);
    if (answered == nullptr || asked_at_[answered->request.value()] != node) {
        return;
    }
    auto& view = answers_[answered->request.value()];
    if (view.ended) {
        throw std::logic_error("an answer went on after its end");
    }
    if (const auto* head = std::get_if<http_head>(&answered->part)) {
        view.status = head->status;
    } else if (const auto* chunk = std::get_if<http_chunk>(&answered->part)) {
        view.body += chunk->bytes;
    } else {
        view.ended = true;
        view.whole = std::holds_alternative<http_end>(answered->part);
        view.ended_at = cluster_.now();
    }
}

bool system_fleet::run_until_answered(duration longest) {
    const time_point end = cluster_.now() + longest;
    while (cluster_.now() < end) {
        bool all = true;
        for (const auto& [id, view] : answers_) {
            // A caller of a gateway that died has lost its connection.
            all = all && (view.ended || !cluster_.alive(asked_at_.at(id)));
        }
        if (all) {
            return true;
        }
        cluster_.run_for(poll);
    }
    return false;
}

} // namespace camphorgrade::testing
