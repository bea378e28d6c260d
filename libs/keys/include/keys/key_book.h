#pragma once

#include <keys/key_record.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace camphorgrade::keys {

/** The key is valid. */
struct key_accepted {
    std::string client_account;
    key_id_text id;

    friend bool operator==(const key_accepted&, const key_accepted&) = default;
};

enum class key_refusal {
    malformed, /**< Not spelled like a key. */
    unknown,   /**< No such id, or the wrong secret for it. */
    withdrawn
};

using key_check = std::variant<key_accepted, key_refusal>;

/** What became of a record or withdrawal that was handed in. */
enum class key_merge {
    added,
    known,       /**< Was there already. */
    conflicting, /**< Another record has this id; every node keeps the same one of the two. */
    malformed,
    full /**< The book is at its limit. */
};

/** Sum over a set that does not depend on the order of insertion. A value type. */
struct set_digest {
    std::uint64_t count = 0;
    std::uint64_t mix = 0;

    friend bool operator==(const set_digest&, const set_digest&) = default;
};

/**
 * All keys that a process knows, and all that were withdrawn. Both sets only grow: news may arrive
 * in any order and any number of times, and a withdrawn id is never accepted again.
 * Not thread safe.
 *
 * @code
 * key_book book;
 * book.add(record);
 * if (const auto* ok = std::get_if<key_accepted>(&book.check(bearer))) {
 * charge(ok->client_account); }
 * @endcode
 */
class key_book {
public:
    static constexpr std::size_t max_records = 1'000'000;
    static constexpr std::size_t max_withdrawn = 4'000'000;

    /** Checks what a caller presented. Accepts nothing but an exact key. */
    key_check check(std::string_view presented) const;

    /** Whether the id was withdrawn; for requests that wait while the news arrives. */
    bool withdrawn(std::string_view id) const;

    key_merge add(const key_record& record);
    key_merge withdraw(std::string_view id);

    /** Equal exactly when two books know the same withdrawals, but for hash collisions. */
    const set_digest& withdrawn_digest() const noexcept { return withdrawn_digest_; }
    const set_digest& record_digest() const noexcept { return record_digest_; }

    /** All withdrawn ids, in order. */
    const std::set<key_id_text, std::less<>>& withdrawn_ids() const noexcept { return withdrawn_; }

    /** All withdrawn ids, in the order in which this book learnt of them. */
    const std::vector<key_id_text>& withdrawals() const noexcept { return withdrawals_; }

    /** All records, in no particular order. */
    const std::unordered_map<key_id_text, key_record>& records() const noexcept { return records_; }

private:
    std::unordered_map<key_id_text, key_record> records_;
    std::set<key_id_text, std::less<>> withdrawn_;
    std::vector<key_id_text> withdrawals_;
    set_digest record_digest_;
    set_digest withdrawn_digest_;
};

/** Hash that the digests are made of; the same in every process. Thread safe. */
std::uint64_t digest_part(std::string_view bytes);

} // namespace camphorgrade::keys
