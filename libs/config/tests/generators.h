#pragma once

#include <config/operators_text.h>

#include <rapidcheck.h>

#include <string>
#include <vector>

/** Random but valid operators' texts. */
namespace camphorgrade::config::generate {

inline std::string numbered(const std::string& stem, std::size_t n) {
    return stem + std::to_string(n);
}

inline std::vector<adapter_spec> adapters(std::size_t count, std::size_t models) {
    std::vector<adapter_spec> all;
    for (std::size_t i = 0; i < count; ++i) {
        const auto versions = *rc::gen::inRange<std::size_t>(1, 4);
        adapter_spec adapter{numbered("adapter-", i),
                             numbered("model-", *rc::gen::inRange<std::size_t>(0, models)),
                             {},
                             numbered("v", *rc::gen::inRange<std::size_t>(0, versions))};
        for (std::size_t v = 0; v < versions; ++v) {
            adapter.versions.push_back(numbered("v", v));
        }
        all.push_back(std::move(adapter));
    }
    return all;
}

inline service_spec service(std::size_t index, std::size_t models) {
    service_spec made;
    made.name = numbered("service-", index);
    made.kind = index < models ? service_kind::model : service_kind::plain;
    if (made.kind == service_kind::model) {
        made.model = numbered("model-", index);
    } else {
        made.cost_tokens = *rc::gen::inRange<std::uint64_t>(0, 100);
        if (*rc::gen::arbitrary<bool>()) {
            made.not_repeatable = {{"POST", ""}, {"DELETE", "/bookings"}};
        }
    }
    made.access = *rc::gen::element(service_access::keyed, service_access::open);
    made.request_timeout = duration{*rc::gen::inRange(100, 100'000)};
    if (index > 0 && *rc::gen::arbitrary<bool>()) {
        made.depends_on = {{dependency_kind::service,
                            numbered("service-", *rc::gen::inRange<std::size_t>(0, index))}};
    }
    return made;
}

inline backend_server_spec backend_server(std::size_t index, std::size_t models,
                                          const std::vector<service_spec>& services) {
    backend_server_spec server;
    server.name = numbered("server-", index);
    server.address = "10.0.0.1:" + std::to_string(1000 + index);
    server.data_centre = numbered("dc-", index % 3);
    server.kind = *rc::gen::element(backend_kind::engine, backend_kind::plain);
    if (server.kind == backend_kind::engine) {
        server.model = numbered("model-", index % models);
        server.slots = *rc::gen::inRange<std::uint32_t>(1, 99);
    }
    for (const service_spec& each : services) {
        if (server.kind == backend_kind::plain && each.kind == service_kind::plain &&
            *rc::gen::arbitrary<bool>()) {
            server.services.push_back(each.name);
        }
    }
    server.checks_fencing = *rc::gen::arbitrary<bool>();
    return server;
}

inline operators_text text() {
    const auto models = *rc::gen::inRange<std::size_t>(1, 4);
    operators_statement statement;
    statement.deployment = "random";
    statement.weigh =
        *rc::gen::element(deployment_weight::load_stalls, deployment_weight::fairness);
    statement.store.loads_per_s = *rc::gen::inRange<std::uint32_t>(1, 99);
    for (std::size_t i = 0; i < models; ++i) {
        statement.models.push_back({numbered("model-", i)});
    }
    const auto accounts = *rc::gen::inRange<std::size_t>(0, 6);
    for (std::size_t i = 0; i < accounts; ++i) {
        statement.client_accounts.push_back({numbered("account-", i),
                                             *rc::gen::inRange<std::uint64_t>(1, 9999),
                                             *rc::gen::inRange<std::uint64_t>(1, 9999)});
    }
    const auto services = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < services; ++i) {
        statement.services.push_back(service(i, models));
    }
    const auto servers = *rc::gen::inRange<std::size_t>(0, 8);
    for (std::size_t i = 0; i < servers; ++i) {
        statement.backend_servers.push_back(backend_server(i, models, statement.services));
    }
    const auto count = *rc::gen::inRange<std::size_t>(0, 30);
    auto made = operators_text::create(std::move(statement), adapters(count, models));
    return std::get<operators_text>(std::move(made));
}

} // namespace camphorgrade::config::generate
