#include "base64.h"
#include "json_fields.h"

#include <kvstore/etcd_json.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace camphorgrade {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr const char* range_route = "/v3/kv/range";
constexpr const char* txn_route = "/v3/kv/txn";
constexpr const char* grant_route = "/v3/lease/grant";
constexpr const char* keep_alive_route = "/v3/lease/keepalive";
constexpr const char* revoke_route = "/v3/lease/revoke";
constexpr const char* old_revoke_route = "/v3/kv/lease/revoke";
constexpr const char* watch_route = "/v3/watch";

/** A field at its default is left out, as the published encoding does. */
void add_bytes(json& to, const char* name, const std::string& bytes) {
    if (!bytes.empty()) {
        to[name] = encode_base64(bytes);
    }
}

void add_number(json& to, const char* name, std::int64_t value) {
    if (value != 0) {
        to[name] = std::to_string(value);
    }
}

json interval(const std::string& key, const std::string& range_end) {
    json encoded = json::object();
    add_bytes(encoded, "key", key);
    add_bytes(encoded, "range_end", range_end);
    return encoded;
}

json encode(const kv_operation& operation) {
    if (const auto* range = std::get_if<kv_range>(&operation)) {
        return {{"request_range", interval(range->key, range->range_end)}};
    }
    if (const auto* erased = std::get_if<kv_delete>(&operation)) {
        return {{"request_delete_range", interval(erased->key, erased->range_end)}};
    }
    const auto& written = std::get<kv_put>(operation);
    json put = json::object();
    add_bytes(put, "key", written.key);
    add_bytes(put, "value", written.value);
    add_number(put, "lease", written.lease);
    return {{"request_put", std::move(put)}};
}

json encode(const std::vector<kv_operation>& operations) {
    json encoded = json::array();
    for (const kv_operation& operation : operations) {
        encoded.push_back(encode(operation));
    }
    return encoded;
}

json encode(const kv_txn& txn) {
    json compares = json::array();
    for (const kv_compare& compare : txn.compares) {
        compares.push_back({{"target", "MOD"},
                            {"result", "EQUAL"},
                            {"key", encode_base64(compare.key)},
                            {"mod_revision", std::to_string(compare.mod_revision)}});
    }
    return {{"compare", std::move(compares)},
            {"success", encode(txn.success)},
            {"failure", encode(txn.failure)}};
}

struct request_encoder {
    json operator()(const kv_range& range) const { return interval(range.key, range.range_end); }
    json operator()(const kv_txn& txn) const { return encode(txn); }
    json operator()(const kv_lease_grant& grant) const {
        return {{"TTL", std::to_string(grant.ttl_s)}};
    }
    json operator()(const kv_lease_keep_alive& kept) const {
        return {{"ID", std::to_string(kept.lease)}};
    }
    json operator()(const kv_lease_revoke& revoked) const {
        return {{"ID", std::to_string(revoked.lease)}};
    }
    json operator()(const kv_watch& watch) const {
        json create = interval(watch.key, watch.range_end);
        add_number(create, "start_revision", watch.start_revision);
        return {{"create_request", std::move(create)}};
    }
};

struct route_of {
    const char* operator()(const kv_range& /*request*/) const { return range_route; }
    const char* operator()(const kv_txn& /*request*/) const { return txn_route; }
    const char* operator()(const kv_lease_grant& /*request*/) const { return grant_route; }
    const char* operator()(const kv_lease_keep_alive& /*request*/) const {
        return keep_alive_route;
    }
    const char* operator()(const kv_lease_revoke& /*request*/) const { return revoke_route; }
    const char* operator()(const kv_watch& /*request*/) const { return watch_route; }
};

std::string required_key(const json_fields& fields) {
    std::string key = fields.bytes("key");
    if (key.empty()) {
        throw malformed_json{};
    }
    return key;
}

/** kv_range or kv_delete. */
template <typename Request>
Request decode_interval(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"key", "range_end", "rangeEnd"});
    return {required_key(fields), fields.bytes("range_end", "rangeEnd")};
}

kv_put decode_put(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"key", "value", "lease"});
    return {required_key(fields), fields.bytes("value"), fields.number("lease")};
}

kv_compare decode_compare(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"target", "result", "key", "mod_revision", "modRevision"});
    if (fields.text("target", "VERSION") != "MOD" || fields.text("result", "EQUAL") != "EQUAL") {
        throw malformed_json{};
    }
    return {required_key(fields), fields.number("mod_revision", "modRevision")};
}

kv_operation decode_operation(const json& value) {
    const json_fields fields(value);
    const json* const range = fields.find("request_range", "requestRange");
    const json* const put = fields.find("request_put", "requestPut");
    const json* const erased = fields.find("request_delete_range", "requestDeleteRange");
    if (value.size() != 1) {
        throw malformed_json{};
    }
    if (range != nullptr) {
        return decode_interval<kv_range>(*range);
    }
    if (put != nullptr) {
        return decode_put(*put);
    }
    if (erased != nullptr) {
        return decode_interval<kv_delete>(*erased);
    }
    throw malformed_json{};
}

std::vector<kv_operation> decode_operations(const json::array_t& values) {
    std::vector<kv_operation> operations;
    operations.reserve(values.size());
    std::transform(values.begin(), values.end(), std::back_inserter(operations), decode_operation);
    return operations;
}

kv_txn decode_txn(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"compare", "success", "failure"});
    kv_txn txn;
    const json::array_t& compares = fields.items("compare");
    std::transform(compares.begin(), compares.end(), std::back_inserter(txn.compares),
                   decode_compare);
    txn.success = decode_operations(fields.items("success"));
    txn.failure = decode_operations(fields.items("failure"));
    return txn;
}

kv_lease_grant decode_grant(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"TTL", "ID"});
    if (fields.number("ID") != 0) {
        throw malformed_json{};
    }
    return {fields.number("TTL")};
}

/** kv_lease_keep_alive or kv_lease_revoke. */
template <typename Request>
Request decode_lease(const json& value) {
    const json_fields fields(value);
    fields.allow_only({"ID"});
    return {fields.number("ID")};
}

kv_watch decode_watch(const json& value) {
    const json_fields outer(value);
    outer.allow_only({"create_request", "createRequest"});
    const json* const create = outer.find("create_request", "createRequest");
    if (create == nullptr) {
        throw malformed_json{};
    }
    const json_fields fields(*create);
    fields.allow_only({"key", "range_end", "rangeEnd", "start_revision", "startRevision"});
    return {required_key(fields), fields.bytes("range_end", "rangeEnd"),
            fields.number("start_revision", "startRevision")};
}

struct route_decoder {
    const char* route;
    kv_request (*decode)(const json&);
};

constexpr std::array<route_decoder, 7> decoders{{
    {range_route, [](const json& value) -> kv_request { return decode_interval<kv_range>(value); }},
    {txn_route, [](const json& value) -> kv_request { return decode_txn(value); }},
    {grant_route, [](const json& value) -> kv_request { return decode_grant(value); }},
    {keep_alive_route,
     [](const json& value) -> kv_request { return decode_lease<kv_lease_keep_alive>(value); }},
    {revoke_route,
     [](const json& value) -> kv_request { return decode_lease<kv_lease_revoke>(value); }},
    {old_revoke_route,
     [](const json& value) -> kv_request { return decode_lease<kv_lease_revoke>(value); }},
    {watch_route, [](const json& value) -> kv_request { return decode_watch(value); }},
}};

} // namespace

std::string etcd_route(const kv_request& request) {
    return std::visit(route_of{}, request);
}

std::string encode_etcd_request(const kv_request& request) {
    return std::visit(request_encoder{}, request).dump();
}

leaf::result<kv_request> decode_etcd_request(std::string_view route, std::string_view body) {
    const auto* const found =
        std::find_if(decoders.begin(), decoders.end(),
                     [&](const route_decoder& decoder) { return route == decoder.route; });
    if (found == decoders.end()) {
        return leaf::new_error(etcd_json_error::unknown_route);
    }
    try {
        return found->decode(parse_json(body));
    } catch (const malformed_json&) {
        return leaf::new_error(etcd_json_error::malformed);
    }
}

} // namespace camphorgrade
