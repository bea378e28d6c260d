#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @file Configuration declared by operators: routes, services, client accounts and limits on
    callers. */
namespace camphorgrade::serving {

/** Whether requests of a route may run more than once. */
enum class request_kind : std::uint8_t {
    idempotent,     /**< May run any number of times. */
    non_idempotent, /**< Runs at most once per request of a caller. */
    streaming       /**< A stream of events; not idempotent unless the route is resumable. */
};

/** A service and its share of a route's requests. */
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Services and timeouts for requests of one host and path prefix. */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; /**< Begins and ends with a slash. */
    request_kind kind = request_kind::non_idempotent;
    duration timeout{};           /**< Maximum time that a caller waits; 0: a default. */
    duration latency_objective{}; /**< Target time to the response, or to a stream's first event. */
    duration longest_pause{};     /**< Target for the longest time between two events of a stream;
                                       0: not set. */
    int priority = 0;             /**< 0 is the most urgent. */
    std::uint32_t max_attempts = 1; /**< Attempts per request, with the first; those refused or
                                         not connected aren't counted. */
    bool is_public = false;         /**< Requests need no key. */
    bool is_resumable = false;      /**< Another backend server may continue a stream. */
    std::vector<weighted_service> services;

    bool is_retryable() const noexcept {
        return kind == request_kind::idempotent ||
               (kind == request_kind::streaming && is_resumable);
    }

    friend bool operator==(const route&, const route&) = default;
};

/** A base model that an engine can load. */
struct base_model {
    std::string name;
    double weights_mb = 0; /**< Memory of the model's weights, MB. */
    double adapter_mb = 0; /**< Memory of one of its adapters, MB. */
    duration load_time{};  /**< Load time of the model from the weight store. */

    friend bool operator==(const base_model&, const base_model&) = default;
};

/** Capacity of each engine of a service. */
struct engine_capacity {
    std::uint32_t batch_slots = 0;   /**< Maximum number of requests in the batch. */
    std::uint64_t kv_tokens = 0;     /**< Capacity of the KV cache in tokens. */
    double weights_capacity_mb = 0;  /**< Memory for base models and adapters together, MB. */
    std::uint32_t adapter_slots = 0; /**< Number of adapters that an engine can hold at once,
                                          including those being loaded. */
    std::vector<base_model> models;  /**< The engine loads the first that fits its memory. */

    friend bool operator==(const engine_capacity&, const engine_capacity&) = default;
};

/** A group of interchangeable backend servers. */
struct service {
    std::string name;
    std::optional<engine_capacity> engine; /**< Empty for a service without engines. */
    std::string health_path{};             /**< Of its health check; empty if it has none. */
    duration cold_time{};                  /**< Time that a server stays cold after its start. */
    double cold_rate_per_s = 0; /**< Requests per second, of all gateways together, that a cold
                                     server sustains; 0: not limited. */

    friend bool operator==(const service&, const service&) = default;
};

/** The account that requests are charged to. */
struct client_account {
    std::string name;
    std::vector<std::string> keys;     /**< Each identifies the account in a request. */
    std::optional<int> priority;       /**< 0 is the most urgent; ranks before the route's priority.
                                            Empty: 0. */
    bool is_charged_by_tokens = false; /**< Rate and burst are in tokens; otherwise in requests. */
    double default_cost = 1; /**< Cost in tokens of a request that states no token counts. */
    double rate_per_s = 0;   /**< 0: no limit. */
    double burst = 0;        /**< Capacity of the token bucket. */

    friend bool operator==(const client_account&, const client_account&) = default;
};

/** Limits on what a caller may send. */
struct caller_bounds {
    std::uint64_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    duration header_timeout{3'000}; /**< From the first byte of a request to the end of its
                                         headers. */
    duration idle_timeout{15'000};  /**< Between two requests of a connection, and for reading a
                                         whole body. */

    friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

/** Version of each adapter's weights that requests must run on; key: "model/adapter". */
using adapter_versions = std::map<std::string, std::uint64_t, std::less<>>;

/** Configuration declared by operators, as of one version. A value type. */
struct service_catalogue {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts; /**< Empty: requests need no key. */
    caller_bounds bounds;

    friend bool operator==(const service_catalogue&, const service_catalogue&) = default;
};

/**
 * A catalogue with indexes for lookups. Immutable, so concurrent reads are safe. Returned
 * pointers are valid for the lifetime of the index.
 */
class catalogue_index {
public:
    explicit catalogue_index(service_catalogue catalogue);

    const service_catalogue& catalogue() const noexcept { return catalogue_; }

    /** Returns the route of `host` with the longest prefix of `path`; null if no route matches. */
    const route* find_route(std::string_view host, std::string_view path) const;

    /** Returns the service of this name; null if there is none. */
    const service* find_service(std::string_view name) const;

    /** Returns the account that owns `key`; null if none does. */
    const client_account* find_account(std::string_view key) const;

private:
    service_catalogue catalogue_;
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
    std::map<std::string, const service*, std::less<>> by_name_;
    std::map<std::string, const client_account*, std::less<>> by_key_;
};

} // namespace camphorgrade::serving
