#pragma once

#include <adapters/adapter_keeper.h>
#include <serving/account_limiter.h>
#include <serving/backend_server.h>
#include <serving/crash_register.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * What the system's own processes tell each other. Each message is the sender's whole present
 * state of its kind, so a lost or repeated one does no harm and a newer one replaces an older one.
 */
namespace camphorgrade::peering {

/** The agent beside an engine tells gateways how the engine stands. */
struct engine_report {
    std::string backend_id;
    serving::engine_state state;
    std::vector<std::string> gateways; /**< Addresses of some of those that the agent hears. */

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/** A gateway tells its peers. */
struct gateway_report {
    serving::account_usage usage;
    std::vector<serving::crash_mark> crashes;
    std::vector<std::string> gateways; /**< Addresses of some of the peers that it hears. */
    std::uint64_t catalogue_version = 0;
    duration store_age{};   /**< Since it last heard from the store. */
    duration process_age{}; /**< Since it started. */
    serving::adapter_versions versions;

    friend bool operator==(const gateway_report&, const gateway_report&) = default;
};

using peer_body = std::variant<adapters::engine_demand, engine_report, gateway_report>;

/** A message and who sent it. */
struct peer_message {
    std::string sender;         /**< Address at which the sender takes messages, "ip:port". */
    std::uint64_t life = 0;     /**< Start of the sender's process; larger is later. */
    std::uint64_t sequence = 0; /**< Counts the sender's messages. */
    peer_body body;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/** Bytes of a message. Pure. */
std::string encode(const peer_message& message);

/** The message of these bytes; nullopt when they are none. Pure. */
std::optional<peer_message> decode(std::string_view bytes);

} // namespace camphorgrade::peering
