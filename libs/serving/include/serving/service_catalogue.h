#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @file What operators declare: routes, services, client accounts and bounds on callers. */
namespace camphorgrade::serving {

/** What a route says about running its requests more than once. */
enum class request_kind : std::uint8_t {
    idempotent,     /**< May run any number of times. */
    non_idempotent, /**< Runs at most once for each request of a caller. */
    streaming       /**< A stream of events; not idempotent unless the route is resumable. */
};

/** A service that takes part of a route's requests. */
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Where requests of one host and path prefix go. */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; /**< Begins and ends with a slash. */
    request_kind kind = request_kind::non_idempotent;
    duration timeout{};           /**< The longest that a caller is kept waiting. */
    duration latency_objective{}; /**< To the answer, or to a stream's first event. */
    duration longest_pause{};     /**< Between two events of a stream; 0 where none is set. */
    int priority = 0;             /**< 0 is the most urgent. */
    std::uint32_t max_attempts = 1;
    bool is_public = false;    /**< Needs no key. */
    bool is_resumable = false; /**< A stream may go on at another backend server. */
    std::vector<weighted_service> services;

    bool is_retryable() const noexcept {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && is_resumable);
    }

    friend bool operator==(const route&, const route&) = default;
};

/** A base model of an engine. */
struct base_model {
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0;
    duration load_time{};

    friend bool operator==(const base_model&, const base_model&) = default;
};

/** What the engines of a service can hold. */
struct engine_capacity {
    std::uint32_t batch_slots = 0;
    std::uint64_t kv_tokens = 0;
    double weights_capacity_mb = 0;  /**< Room for base models and adapters together. */
    std::uint32_t adapter_slots = 0; /**< Adapters an engine holds at once, loading ones too. */
    std::vector<base_model> models;

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/** A group of alike backend servers. */
struct service {
    std::string name;
    std::optional<engine_capacity> engine; /**< Empty for a plain service. */

    friend bool operator==(const service&, const service&) = default;
};

/** Who a request is charged to. */
struct client_account {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;
    bool is_charged_by_tokens = false; /**< The rate is in tokens rather than in requests. */
    double default_cost = 1; /**< Of a request that doesn't say how many tokens it takes. */
    double rate_per_s = 0;   /**< 0: no limit. */
    double burst = 0;

    friend bool operator==(const client_account&, const client_account&) = default;
};

/** Bounds on what a caller may send. */
struct caller_bounds {
    std::uint64_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    duration header_timeout{3'000};
    duration idle_timeout{15'000};

    friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

/** The version of an adapter's weights that requests must run on; key: "model/adapter". */
using adapter_versions = std::map<std::string, std::uint64_t, std::less<>>;

/** Everything that operators declared, as of one version. A value type. */
struct service_catalogue {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts; /**< Empty: requests need no key. */
    caller_bounds bounds;

    friend bool operator==(const service_catalogue&, const service_catalogue&) = default;
};

/**
 * A catalogue prepared for looking things up. Immutable, so as thread safe as reading is.
 * Pointers that it returns hold as long as it does.
 */
class catalogue_index {
public:
    explicit catalogue_index(service_catalogue catalogue);

    const service_catalogue& catalogue() const noexcept { return catalogue_; }

    /** The route of `host` whose prefix is the longest that begins `path`; null when none does. */
    const route* find_route(std::string_view host, std::string_view path) const;

    const service* find_service(std::string_view name) const;

    /** The account that holds `key`; null when none does. */
    const client_account* find_account(std::string_view key) const;

private:
    service_catalogue catalogue_;
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
    std::map<std::string, const service*, std::less<>> by_name_;
    std::map<std::string, const client_account*, std::less<>> by_key_;
};

} // namespace camphorgrade::serving
