#pragma once

#include <adapters/adapter_manager.h>
#include <serving/account_limiter.h>
#include <serving/backend_server.h>
#include <serving/crash_register.h>
#include <serving/service_catalogue.h>

#include <cstddef>
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
    std::vector<serving::crash_record> crashes;
    std::vector<std::string> gateways; /**< Addresses of some of the peers that it hears. */
    std::uint64_t catalogue_version = 0;
    duration store_age{};   /**< Since it last heard from the store. */
    duration process_age{}; /**< Since it started. */
    serving::adapter_versions versions;
    std::vector<serving::avoided_server> avoided_servers;
    bool has_all_usage = true; /**< Else `usage` has only the accounts that changed lately. */

    friend bool operator==(const gateway_report&, const gateway_report&) = default;
};

/** What a message is about; the order of `peer_body`. */
enum class message_kind : std::uint8_t { demand, engine, gateway, bundle };

inline constexpr std::size_t message_kind_count = 4;

/** A report as its sender sent it, which a relay hands on. */
struct relayed_report {
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    message_kind kind = message_kind::gateway;
    std::string datagram;

    friend bool operator==(const relayed_report&, const relayed_report&) = default;
};

/** Reports that a relay hands on together. */
struct report_bundle {
    std::vector<relayed_report> reports;
    bool is_for_data_centre = false; /**< To be handed on within the receiver's data centre. */

    friend bool operator==(const report_bundle&, const report_bundle&) = default;
};

using peer_body =
    std::variant<adapters::engine_demand, engine_report, gateway_report, report_bundle>;

/** What the sender of a message is, for those that choose relays. */
struct peer_attributes {
    std::string data_centre;
    std::uint32_t capacity_millicores = 0; /**< Share of a processor core, in thousandths. */

    friend bool operator==(const peer_attributes&, const peer_attributes&) = default;
};

/** How a message is to be treated by who receives it directly. */
struct relay_options {
    bool is_to_be_relayed = false;
    bool is_urgent = false; /**< To be handed on at once. */

    friend bool operator==(const relay_options&, const relay_options&) = default;
};

/** A message and who sent it. */
struct peer_message {
    std::string sender;            /**< Address at which the sender takes messages, "ip:port". */
    std::uint64_t incarnation = 0; /**< Start of the sender's process; larger is later. */
    std::uint64_t sequence = 0;    /**< Counts the sender's messages. */
    peer_body body;
    peer_attributes sender_attributes;
    relay_options options;

    message_kind kind() const noexcept { return static_cast<message_kind>(body.index()); }

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/** Bytes of a message. Pure. */
std::string encode(const peer_message& message);

/** The message of these bytes; nullopt when they are none. Pure. */
std::optional<peer_message> decode(std::string_view bytes);

} // namespace camphorgrade::peering
