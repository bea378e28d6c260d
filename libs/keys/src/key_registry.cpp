#include <keys/key_registry.h>

#include <set>

namespace camphorgrade::keys {
namespace {

namespace leaf = boost::leaf;

constexpr int attempts = 3;

bool is_ambiguous(const kv_reply& reply) {
    const auto* failure = std::get_if<kv_failure>(&reply);
    return failure != nullptr && failure->kind == kv_failure_kind::ambiguous;
}

} // namespace

leaf::result<std::vector<kv_entry>> key_registry::read(const std::string& key,
                                                       const std::string& range_end) {
    for (int i = 0; i < attempts; ++i) {
        kv_reply reply = access_->execute(kv_range{key, range_end});
        if (auto* found = std::get_if<kv_range_result>(&reply)) {
            return std::move(found->entries);
        }
    }
    return leaf::new_error(registry_fault::unavailable);
}

leaf::result<client_key> key_registry::give(const std::string& client_account,
                                            const key_material& material) {
    client_key key(material.id, material.secret);
    const std::string record = encode(make_record(key, client_account, material.salt));
    const std::string place = std::string(key_prefix) + key.id();
    const kv_txn create{{{place, 0}}, {kv_put{place, record, 0}}, {kv_range{place, ""}}};
    bool may_be_written = false;
    for (int i = 0; i < attempts; ++i) {
        const kv_reply reply = access_->execute(create);
        may_be_written = may_be_written || is_ambiguous(reply);
        const auto* done = std::get_if<kv_txn_result>(&reply);
        if (done == nullptr) {
            continue;
        }
        // The salt is as random as the secret: an equal record is the one written before.
        const bool ours = !done->succeeded && !done->ranges.empty() &&
                          !done->ranges.front().entries.empty() &&
                          done->ranges.front().entries.front().value == record;
        if (done->succeeded || ours) {
            return key;
        }
        return leaf::new_error(registry_fault::id_taken);
    }
    return leaf::new_error(may_be_written ? registry_fault::outcome_unknown
                                          : registry_fault::unavailable);
}

leaf::result<std::vector<listed_key>> key_registry::list() {
    const std::string records(key_prefix);
    const std::string withdrawals(withdrawn_prefix);
    BOOST_LEAF_AUTO(kept, read(records, kv_prefix_end(records)));
    BOOST_LEAF_AUTO(gone, read(withdrawals, kv_prefix_end(withdrawals)));
    std::set<std::string> withdrawn;
    for (const kv_entry& entry : gone) {
        withdrawn.insert(entry.key.substr(withdrawals.size()));
    }
    std::vector<listed_key> keys;
    for (const kv_entry& entry : kept) {
        if (const auto record = decode_key_record(entry.value)) {
            keys.push_back({record->id, record->client_account, withdrawn.contains(record->id)});
        }
    }
    return keys;
}

leaf::result<void> key_registry::withdraw(std::string_view id) {
    if (!is_key_id(id)) {
        return leaf::new_error(registry_fault::malformed_id);
    }
    BOOST_LEAF_AUTO(record, read(std::string(key_prefix) + std::string(id), ""));
    if (record.empty()) {
        return leaf::new_error(registry_fault::unknown_key);
    }
    const std::string place = std::string(withdrawn_prefix) + std::string(id);
    const kv_txn write{{{place, 0}}, {kv_put{place, "", 0}}, {}};
    bool may_be_written = false;
    for (int i = 0; i < attempts; ++i) {
        const kv_reply reply = access_->execute(write);
        if (std::holds_alternative<kv_txn_result>(reply)) {
            return {}; // written now, or there before
        }
        may_be_written = may_be_written || is_ambiguous(reply);
    }
    return leaf::new_error(may_be_written ? registry_fault::outcome_unknown
                                          : registry_fault::unavailable);
}

} // namespace camphorgrade::keys
