#pragma once

#include <adapters/adapter_manager.h>
#include <serving/account_limiter.h>
#include <serving/backend_server.h>
#include <serving/crash_register.h>
#include <serving/crashing_parts.h>
#include <serving/evacuation_state.h>
#include <serving/fleet_checkpoint.h>
#include <serving/permit_messages.h>
#include <serving/server_limits.h>
#include <serving/server_speeds.h>
#include <serving/service_catalogue.h>
#include <serving/software_exchange.h>
#include <serving/stream_origins.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * Messages between the processes of this system. Each message holds the sender's complete current
 * state of its kind. A lost or duplicated message is therefore harmless, and a newer message
 * replaces an older one.
 */
namespace camphorgrade::peering {

/** The state of one engine, sent to gateways by the agent beside the engine. */
struct engine_report {
    std::string backend_id;
    serving::engine_state state;
    /** Addresses of some of the gateways that send demand to this agent. */
    std::vector<std::string> gateways;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/** The state that one gateway shares with its peers. */
struct gateway_report {
    serving::account_usage usage;
    std::vector<serving::crash_record> crashes;
    serving::crashing_parts_report parts; /**< Parts of prompts that may crash servers. */
    std::vector<std::string> gateways;    /**< Addresses of some of the sender's live peers. */
    std::uint64_t catalogue_version = 0;
    /** Time since the store last responded to the sender; negative if it never did. */
    duration store_age{};
    duration process_age{}; /**< Time since the sender's process started. */
    serving::adapter_versions versions;
    std::vector<serving::server_process> avoided_servers;
    std::vector<serving::limit_report> limits; /**< Request limits that backend servers name. */
    bool has_all_usage = true; /**< False: `usage` lists only recently changed accounts. */
    /** Empty in reports that leave it out, and if the sender knows none. */
    std::optional<serving::evacuation_state> evacuations;
    /** What the sender has reserved for requests over their accounts' rates. */
    std::vector<serving::account_reservation> reservations;
    /** Speeds of servers that the sender measured since its last report. */
    std::vector<serving::speed_sample> speeds;
    /** The newest checkpoint that the sender knows; of revision 0 if it knows none. */
    serving::checkpoint_state checkpoint;

    friend bool operator==(const gateway_report&, const gateway_report&) = default;
};

/** The kind of a message, in the order of the alternatives of `peer_body`. */
enum class message_kind : std::uint8_t {
    demand,
    engine,
    gateway,
    bundle,
    permit_requests,
    permit_grants,
    origin_records,
    origin_query,
    software
};

inline constexpr std::size_t message_kind_count = 9;

/** A report in the encoding of its original sender, for forwarding by a relay. */
struct relayed_report {
    std::string sender;
    std::uint64_t incarnation = 0; /**< As sent by the original sender. */
    std::uint64_t sequence = 0;
    message_kind kind = message_kind::gateway;
    std::string datagram;

    friend bool operator==(const relayed_report&, const relayed_report&) = default;
};

/** Reports that a relay forwards in one message. */
struct report_bundle {
    std::vector<relayed_report> reports;
    /** The receiver forwards the reports within its data centre. */
    bool is_for_data_centre = false;

    friend bool operator==(const report_bundle&, const report_bundle&) = default;
};

using peer_body =
    std::variant<adapters::engine_demand, engine_report, gateway_report, report_bundle,
                 serving::permit_requests, serving::permit_grants, serving::origin_records,
                 serving::origin_query, serving::software_message>;

/** Attributes of a message's sender from which gateways select relays and granters of permits. */
struct peer_attributes {
    std::string data_centre;
    /** CPU share of the sender's VM, in thousandths of a core. */
    std::uint32_t capacity_millicores = 0;
    bool grants_permits = false; /**< False for agents and for gateways of earlier versions. */

    friend bool operator==(const peer_attributes&, const peer_attributes&) = default;
};

/** How the direct receiver of a message forwards it. */
struct relay_options {
    bool is_to_be_relayed = false;
    bool is_urgent = false; /**< Relays forward the message with minimal delay. */

    friend bool operator==(const relay_options&, const relay_options&) = default;
};

/** A message with its sender and sequence number. */
struct peer_message {
    std::string sender; /**< Address at which the sender receives messages, "ip:port". */
    /**
     * Larger for each later process of the sender. On receipt, peer_socket replaces the value by
     * its local count of the sender's incarnations.
     */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; /**< Increases with each message of the sender. */
    peer_body body;
    peer_attributes sender_attributes;
    relay_options options;

    message_kind kind() const noexcept { return static_cast<message_kind>(body.index()); }

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/** Encodes a message for the wire. Pure. */
std::string encode(const peer_message& message);

/** Decodes a message; nullopt if `bytes` do not hold a valid one. Pure. */
std::optional<peer_message> decode(std::string_view bytes);

} // namespace camphorgrade::peering
