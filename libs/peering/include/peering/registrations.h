#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/store_position.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::peering {

/**
 * The registered backend servers, as a gateway that watches the store sends them to a gateway that
 * does not. A value type.
 */
struct registration_snapshot {
    std::vector<serving::backend_server> servers;
    /**
     * Ids of listed servers that are not registered at present. Their registrations may have lapsed
     * because of a store outage, so their return is awaited.
     */
    std::set<std::string> awaited;
    /** State of the store; an older snapshot never replaces a newer one. */
    serving::store_position position;
    bool is_settled = false; /**< True: a server that is not listed is no longer registered. */
    duration store_age{};    /**< Time since the store last responded to the sender. */
    /** Time since `servers` were the store's registrations. */
    duration registrations_age{};
    /** Newest catalogue version that the sender knows. */
    std::uint64_t catalogue_version = 0;

    friend bool operator==(const registration_snapshot&, const registration_snapshot&) = default;
};

/** Encodes a snapshot for the wire. Pure. */
std::string encode_registrations(const registration_snapshot& snapshot);

/** Decodes a snapshot; nullopt if `bytes` do not hold a valid one. Pure. */
std::optional<registration_snapshot> decode_registrations(std::string_view bytes);

} // namespace camphorgrade::peering
