#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::peering {

/** What a gateway that watches the store tells another of registered servers. A value type. */
struct registration_snapshot {
    std::vector<serving::backend_server> servers;
    std::set<std::string> awaited; /**< Those of them that aren't registered: they may have lapsed
                                        in an outage only, and are waited for. */
    std::uint64_t revision = 0;    /**< Of the store; an older page replaces no newer one. */
    bool is_settled = false;       /**< What isn't in it is gone. */
    duration store_age{};          /**< Since the store answered that gateway. */
    std::uint64_t catalogue_version = 0; /**< Newest that it knows. */

    friend bool operator==(const registration_snapshot&, const registration_snapshot&) = default;
};

/** Bytes of a page. Pure. */
std::string encode_registrations(const registration_snapshot& page);

/** The page of these bytes; nullopt when they are none. Pure. */
std::optional<registration_snapshot> decode_registrations(std::string_view bytes);

} // namespace camphorgrade::peering
