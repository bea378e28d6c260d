#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace camphorgrade::placement {

/**
 * An adapter and its version; the two together are its identity. A value type.
 *
 * @code
 * const adapter_ref wanted{"hall-drafts", "7"};
 * load(to_string(wanted)); // "hall-drafts@7"
 * @endcode
 */
struct adapter_ref {
    std::string name; /**< Empty for a plain service, which has no adapters. */
    std::string version;

    friend bool operator==(const adapter_ref&, const adapter_ref&) = default;
    friend auto operator<=>(const adapter_ref&, const adapter_ref&) = default;
};

/** The name an engine knows the adapter by: `name@version`. Thread safe. */
std::string to_string(const adapter_ref& adapter);

/** Inverse of to_string(); the version is what follows the last '@', empty without one. */
adapter_ref parse_adapter(const std::string& text);

/** A 64-bit digest of the identity, the same in every process. Thread safe. */
std::uint64_t digest(const adapter_ref& adapter);

/** Rendezvous weight of `node` for the key `digest`; the same in every process. Thread safe. */
std::uint64_t rendezvous_weight(std::uint64_t digest, const std::string& node);

} // namespace camphorgrade::placement
