#include <keys/key_book.h>

#include <xxhash.h>

namespace camphorgrade::keys {
namespace {

void include(set_digest& digest, std::string_view item) {
    ++digest.count;
    digest.mix ^= digest_part(item);
}

/** Same choice in every node, whichever record came first. */
bool precedes(const key_record& a, const key_record& b) {
    return encode(a) < encode(b);
}

} // namespace

std::uint64_t digest_part(std::string_view bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
}

key_check key_book::check(std::string_view presented) const {
    const auto key = client_key::parse(presented);
    if (!key) {
        return key_refusal::malformed;
    }
    if (withdrawn(key->id())) {
        return key_refusal::withdrawn;
    }
    const auto found = records_.find(key->id());
    if (found == records_.end() || !matches(found->second, *key)) {
        return key_refusal::unknown;
    }
    return key_accepted{found->second.client_account, key->id()};
}

bool key_book::withdrawn(std::string_view id) const {
    return withdrawn_.contains(id);
}

key_merge key_book::add(const key_record& record) {
    const std::string encoded = encode(record);
    if (decode_key_record(encoded) != record) {
        return key_merge::malformed;
    }
    const auto found = records_.find(record.id);
    if (found == records_.end()) {
        if (records_.size() == max_records) {
            return key_merge::full;
        }
        records_.emplace(record.id, record);
        include(record_digest_, encoded);
        return key_merge::added;
    }
    if (found->second == record) {
        return key_merge::known;
    }
    if (precedes(record, found->second)) {
        record_digest_.mix ^= digest_part(encode(found->second)) ^ digest_part(encoded);
        found->second = record;
    }
    return key_merge::conflicting;
}

key_merge key_book::withdraw(std::string_view id) {
    if (!is_key_id(id)) {
        return key_merge::malformed;
    }
    if (withdrawn(id)) {
        return key_merge::known;
    }
    if (withdrawn_.size() == max_withdrawn) {
        return key_merge::full;
    }
    withdrawn_.emplace(id);
    withdrawals_.emplace_back(id);
    include(withdrawn_digest_, id);
    return key_merge::added;
}

} // namespace camphorgrade::keys
