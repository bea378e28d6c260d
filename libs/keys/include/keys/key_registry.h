#pragma once

#include <keys/key_record.h>

#include <config/kv_access.h>

#include <boost/leaf.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::keys {

/** Why an order about keys was not carried out. */
enum class registry_fault {
    unavailable,     /**< The store did not answer; nothing was changed. */
    outcome_unknown, /**< The store did not answer; the change may have been made. */
    id_taken,        /**< A key of that id exists; draw another. */
    unknown_key,     /**< There is no key of that id. */
    malformed_id,
    damaged /**< What is kept under the id is not a key record. */
};

/** One key as the store knows it. A value type. */
struct listed_key {
    key_id_text id;
    std::string client_account;
    bool withdrawn = false;

    friend bool operator==(const listed_key&, const listed_key&) = default;
};

/** Random bytes for one new key. Must come from a cryptographic source. */
struct key_material {
    std::array<std::uint8_t, key_id_bytes> id{};
    std::array<std::uint8_t, key_secret_bytes> secret{};
    std::array<std::uint8_t, key_salt_bytes> salt{};
};

/**
 * Gives, lists and withdraws keys in the key-value service, for operators' programs. Errors are
 * registry_fault. As thread safe as its kv_access.
 *
 * @code
 * key_registry registry(access);
 * auto key = registry.give("harpa-studio", draw_material());
 * if (key) { show_once(key->spell()); }
 * @endcode
 */
class key_registry {
public:
    /** Precondition: `access` outlives the registry. */
    explicit key_registry(config::kv_access& access) : access_(&access) {}

    /** A new key for an account. The secret is in the result only. */
    boost::leaf::result<client_key> give(const std::string& client_account,
                                         const key_material& material);

    /** All keys in the order of their ids; records that can't be read are left out. */
    boost::leaf::result<std::vector<listed_key>> list();

    /** Withdraws for good. Withdrawing again changes nothing. */
    boost::leaf::result<void> withdraw(std::string_view id);

private:
    boost::leaf::result<std::vector<kv_entry>> read(const std::string& key,
                                                    const std::string& range_end);

    config::kv_access* access_;
};

} // namespace camphorgrade::keys
