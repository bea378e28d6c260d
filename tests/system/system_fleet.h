#pragma once

#include "fake_servers.h"

#include <agent/agent_services.h>
#include <gateway/gateway_services.h>
#include <harness/fake_cluster.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::testing {

/** What a caller of a system_fleet got. */
struct caller_view {
    bool ended = false; /**< The answer is over, whole or not. */
    bool whole = false;
    int status = 0;
    std::string body;
    time_point asked;
    time_point ended_at;

    /** Type of the refusal; empty when it is none. */
    std::string error_type() const;

    /** Its run field; empty when it is no refusal. */
    std::string run() const;
};

/** The credential that operators' commands need in a system_fleet. */
inline constexpr const char* operator_token = "token-of-the-operators";

/** Sizes and text of a system_fleet. */
struct fleet_options {
    int gateways = 2;
    int engines = 2;
    int bookings = 2;
    int slots = 2;
    std::uint64_t rate_tokens_per_s = 100'000;
    std::uint64_t burst_tokens = 1'000'000;
};

/**
 * All services of gateways and agents, as the daemons assemble them, on a fake cluster with fake
 * backend servers; the operators' text and a key for the client account "designers" are in force.
 * Not thread safe.
 */
class system_fleet {
public:
    system_fleet(std::uint64_t seed, const fleet_options& options);

    harness::fake_cluster& cluster() noexcept { return cluster_; }
    fake_servers& servers() noexcept { return servers_; }

    node_id gateway(int number) const;
    node_id engine_agent(int number) const;
    node_id booking_agent(int number) const;
    std::string engine_endpoint(int number) const;
    std::string booking_endpoint(int number) const;

    /** Sends a request with the key; the number finds its answer. */
    std::uint64_t ask(int gateway, const std::string& path, const std::string& body,
                      http_headers headers = {});

    /** A completion of `tokens` tokens. */
    std::uint64_t complete(int gateway, const std::string& model, const std::string& prompt,
                           int tokens, bool stream);

    /** A booking under an idempotency key, or without one. */
    std::uint64_t book(int gateway, const std::string& body, const std::string& idempotency_key);

    const caller_view& answer(std::uint64_t number) const { return answers_.at(number); }
    const std::map<std::uint64_t, caller_view>& answers() const noexcept { return answers_; }

    /** Runs until every caller has its answer, or `longest` has passed; whether all have. */
    bool run_until_answered(duration longest);

    /** The key's public id. */
    std::string key_id() const;

private:
    void write_text(const fleet_options& options);
    void add_gateway(int number);
    void add_agent(const node_id& node, const std::string& backend_server);
    void watch(const node_id& node, const effect& seen);

    harness::fake_cluster cluster_;
    fake_servers servers_;
    std::vector<std::unique_ptr<common_parts>> gateway_parts_;
    std::vector<std::unique_ptr<agent::agent_parts>> agent_parts_;
    std::map<std::uint64_t, caller_view> answers_;
    std::map<std::uint64_t, node_id> asked_at_;
    std::string key_;
    std::uint64_t last_request_ = 0;
};

} // namespace camphorgrade::testing
