#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/**
 * @file
 * The parts of an operators' text. All are value types. docs/CONFIGURATION.md has each field's
 * unit, default and bounds.
 */
namespace camphorgrade::config {

/** What a deployment weighs most when measures pull against each other. */
enum class deployment_weight { load_stalls, fairness };

/** What the platform's weight store allows the whole fleet. */
struct store_limits {
    std::uint32_t loads_per_s = 4;
    duration load_time{250};          /**< One load while at most `parallel_loads` are in flight. */
    std::uint32_t parallel_loads = 8; /**< Beyond it each load takes proportionally longer. */

    friend bool operator==(const store_limits&, const store_limits&) = default;
};

/** Bounds on one request of a caller. */
struct request_limits {
    std::uint64_t max_body_bytes = 1U << 20U;
    std::uint64_t max_tokens = 4096;        /**< Most that a request may ask to be generated. */
    std::uint64_t default_max_tokens = 256; /**< Taken when a request does not say. */
    duration record_retention{86'400'000};  /**< How long outcomes of idempotent calls are kept. */

    friend bool operator==(const request_limits&, const request_limits&) = default;
};

/** A tenant and what it may receive, counted over the whole fleet. */
struct client_account_spec {
    std::string name;
    std::uint64_t rate_tokens_per_s = 0;
    std::uint64_t burst_tokens = 0;

    friend bool operator==(const client_account_spec&, const client_account_spec&) = default;
};

/** A base model. */
struct model_spec {
    std::string name;

    friend bool operator==(const model_spec&, const model_spec&) = default;
};

enum class service_kind { model, plain };

/** Who may call a service. */
enum class service_access {
    keyed, /**< Only a client account with a valid key. */
    open   /**< Everyone; charged to no account. */
};

enum class dependency_kind { service, model, adapter };

/** Something that must be available for a service to be. */
struct dependency {
    dependency_kind kind = dependency_kind::service;
    std::string name;

    friend bool operator==(const dependency&, const dependency&) = default;
    friend bool operator<(const dependency& a, const dependency& b) {
        return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
    }
};

/** Calls of a plain service, by method and by the beginning of the path below the service. */
struct route_rule {
    std::string method;      /**< Upper case, such as "POST". */
    std::string path_prefix; /**< Begins with '/', matched by whole segments; empty matches all. */

    friend bool operator==(const route_rule&, const route_rule&) = default;
    friend bool operator<(const route_rule& a, const route_rule& b) {
        return std::tie(a.method, a.path_prefix) < std::tie(b.method, b.path_prefix);
    }
};

/** Something that callers ask for. */
struct service_spec {
    std::string name;
    service_kind kind = service_kind::model;
    std::string model;                 /**< Model services: the base model. */
    bool all_adapters = true;          /**< Model services: every adapter of the model. */
    std::vector<std::string> adapters; /**< Model services: those served if not all. */
    std::vector<dependency> depends_on;
    service_access access = service_access::keyed;
    std::vector<route_rule> not_repeatable; /**< Plain services: calls that run at most once. */
    std::uint64_t cost_tokens = 1;          /**< Plain services: charged for each call. */
    duration request_timeout{60'000};

    /** Whether a call may be sent again when its outcome is unknown. Thread safe. */
    bool repeatable(std::string_view method, std::string_view path) const;

    friend bool operator==(const service_spec&, const service_spec&) = default;
};

enum class backend_kind { engine, plain };

/** A server that does the work; each has one agent beside it. */
struct backend_server_spec {
    std::string name;
    std::string address; /**< "ip:port" of its HTTP interface. */
    backend_kind kind = backend_kind::engine;
    std::string model;                 /**< Engines: the base model it holds. */
    std::vector<std::string> services; /**< Plain servers: services that it runs. */
    std::uint32_t slots = 0;           /**< Engines: adapters that fit at once. */
    std::string data_centre;
    bool checks_fencing = false; /**< Refuses orders with an old fencing number. */
    bool checks_caller = false;  /**< Checks who gives it orders. */

    friend bool operator==(const backend_server_spec&, const backend_server_spec&) = default;
};

} // namespace camphorgrade::config
