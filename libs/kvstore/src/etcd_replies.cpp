#include "base64.h"
#include "json_fields.h"

#include <kernel/check.h>
#include <kvstore/etcd_json.h>

#include <boost/leaf/error.hpp>

#include <utility>

namespace camphorgrade {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

json header(std::int64_t revision) {
    return {{"revision", std::to_string(revision)}};
}

void add_number(json& to, const char* name, std::int64_t value) {
    if (value != 0) {
        to[name] = std::to_string(value);
    }
}

json encode_entry(const kv_entry& entry) {
    json encoded{{"key", encode_base64(entry.key)},
                 {"mod_revision", std::to_string(entry.mod_revision)}};
    if (!entry.value.empty()) {
        encoded["value"] = encode_base64(entry.value);
    }
    add_number(encoded, "create_revision", entry.create_revision);
    add_number(encoded, "lease", entry.lease);
    return encoded;
}

json encode_range(const kv_range_result& range) {
    json encoded{{"header", header(range.revision)}};
    if (!range.entries.empty()) {
        json entries = json::array();
        for (const kv_entry& entry : range.entries) {
            entries.push_back(encode_entry(entry));
        }
        encoded["kvs"] = std::move(entries);
        encoded["count"] = std::to_string(range.entries.size());
    }
    return encoded;
}

json encode_txn(const kv_txn& request, const kv_txn_result& txn) {
    json responses = json::array();
    std::size_t next_range = 0;
    const json own_header{{"header", header(txn.revision)}};
    for (const kv_operation& operation : txn.succeeded ? request.success : request.failure) {
        if (std::holds_alternative<kv_range>(operation)) {
            responses.push_back({{"response_range", encode_range(txn.ranges.at(next_range))}});
            ++next_range;
        } else if (std::holds_alternative<kv_put>(operation)) {
            responses.push_back({{"response_put", own_header}});
        } else {
            responses.push_back({{"response_delete_range", own_header}});
        }
    }
    json encoded{{"header", header(txn.revision)}, {"responses", std::move(responses)}};
    if (txn.succeeded) {
        encoded["succeeded"] = true;
    }
    return encoded;
}

json encode_lease(const kv_request& request, const kv_lease_result& lease) {
    json encoded = json::object();
    if (std::holds_alternative<kv_lease_revoke>(request)) {
        return encoded;
    }
    encoded["ID"] = std::to_string(lease.lease);
    add_number(encoded, "TTL", lease.ttl_s);
    if (std::holds_alternative<kv_lease_keep_alive>(request)) {
        return {{"result", std::move(encoded)}};
    }
    return encoded;
}

json encode_watch(const kv_watch_result& watch) {
    json result{{"header", header(watch.revision)}};
    if (watch.compacted) {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(watch.revision);
    }
    if (!watch.events.empty()) {
        json events = json::array();
        for (const kv_watch_event& event : watch.events) {
            json encoded{{"kv", encode_entry(event.entry)}};
            if (event.deleted) {
                encoded["type"] = "DELETE";
            }
            events.push_back(std::move(encoded));
        }
        result["events"] = std::move(events);
    }
    return {{"result", std::move(result)}};
}

const json& required(const json_fields& fields, const char* name, const char* camel = nullptr) {
    const json* const found = fields.find(name, camel);
    if (found == nullptr) {
        throw malformed_json{};
    }
    return *found;
}

std::int64_t decode_revision(const json_fields& fields) {
    return json_fields(required(fields, "header")).number("revision");
}

kv_entry decode_entry(const json& value) {
    const json_fields fields(value);
    kv_entry entry;
    entry.key = fields.bytes("key");
    entry.value = fields.bytes("value");
    entry.mod_revision = fields.number("mod_revision", "modRevision");
    entry.create_revision = fields.number("create_revision", "createRevision");
    entry.lease = fields.number("lease");
    return entry;
}

kv_range_result decode_range(const json& value) {
    const json_fields fields(value);
    kv_range_result range;
    range.revision = decode_revision(fields);
    for (const json& entry : fields.items("kvs")) {
        range.entries.push_back(decode_entry(entry));
    }
    if (fields.boolean("more")) {
        throw malformed_json{};
    }
    return range;
}

kv_txn_result decode_txn(const json& value) {
    const json_fields fields(value);
    kv_txn_result txn;
    txn.revision = decode_revision(fields);
    txn.succeeded = fields.boolean("succeeded");
    for (const json& response : fields.items("responses")) {
        const json* const range = json_fields(response).find("response_range", "responseRange");
        if (range != nullptr) {
            txn.ranges.push_back(decode_range(*range));
        }
    }
    return txn;
}

kv_lease_result decode_lease(const json& value) {
    const json_fields fields(value);
    return {fields.number("ID"), fields.number("TTL")};
}

kv_watch_event decode_event(const json& value) {
    const json_fields fields(value);
    const std::string type = fields.text("type", "PUT");
    if (type != "PUT" && type != "DELETE") {
        throw malformed_json{};
    }
    return {type == "DELETE", decode_entry(required(fields, "kv"))};
}

kv_watch_result decode_watch(const json& value) {
    const json_fields fields(value);
    kv_watch_result watch;
    watch.revision = decode_revision(fields);
    watch.compacted = fields.number("compact_revision", "compactRevision") != 0;
    if (fields.boolean("canceled") && !watch.compacted) {
        throw malformed_json{};
    }
    for (const json& event : fields.items("events")) {
        watch.events.push_back(decode_event(event));
    }
    return watch;
}

struct reply_decoder {
    const json& value;

    kv_reply operator()(const kv_range& /*request*/) const { return decode_range(value); }
    kv_reply operator()(const kv_txn& /*request*/) const { return decode_txn(value); }
    kv_reply operator()(const kv_lease_grant& /*request*/) const { return decode_lease(value); }
    kv_reply operator()(const kv_lease_keep_alive& /*request*/) const {
        return decode_lease(required(json_fields(value), "result"));
    }
    kv_reply operator()(const kv_lease_revoke& request) const {
        const json_fields checked(value);
        return kv_lease_result{request.lease, 0};
    }
    kv_reply operator()(const kv_watch& /*request*/) const {
        return decode_watch(required(json_fields(value), "result"));
    }
};

} // namespace

std::string encode_etcd_reply(const kv_request& request, const kv_reply& reply) {
    CAMPHOR_PRECONDITION(!std::holds_alternative<kv_failure>(reply));
    if (const auto* range = std::get_if<kv_range_result>(&reply)) {
        return encode_range(*range).dump();
    }
    if (const auto* txn = std::get_if<kv_txn_result>(&reply)) {
        return encode_txn(std::get<kv_txn>(request), *txn).dump();
    }
    if (const auto* lease = std::get_if<kv_lease_result>(&reply)) {
        return encode_lease(request, *lease).dump();
    }
    return encode_watch(std::get<kv_watch_result>(reply)).dump();
}

std::string encode_etcd_watch_created(std::int64_t revision) {
    return json{{"result", {{"header", header(revision)}, {"created", true}}}}.dump();
}

leaf::result<kv_reply> decode_etcd_reply(const kv_request& request, std::string_view body) {
    try {
        const json value = parse_json(body);
        return std::visit(reply_decoder{value}, request);
    } catch (const malformed_json&) {
        return leaf::new_error(etcd_json_error::malformed);
    }
}

} // namespace camphorgrade
