#include <kvstore/etcd_json.h>
#include <kvstore/memory_store.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <optional>

using namespace camphorgrade;
using nlohmann::json;

namespace {

template <typename Value, typename Decode>
std::variant<Value, etcd_json_error> outcome_of(Decode decode) {
    using outcome = std::variant<Value, etcd_json_error>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome> {
            BOOST_LEAF_AUTO(value, decode());
            return outcome(value);
        },
        [](etcd_json_error error) { return outcome(error); },
        [] { return outcome(etcd_json_error::malformed); });
}

auto request_from(const std::string& route, const std::string& body) {
    return outcome_of<kv_request>([&] { return decode_etcd_request(route, body); });
}

auto reply_from(const kv_request& request, const std::string& body) {
    return outcome_of<kv_reply>([&] { return decode_etcd_reply(request, body); });
}

rc::Gen<std::string> keys() {
    return rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
}

rc::Gen<std::int64_t> counts() {
    return rc::gen::nonNegative<std::int64_t>();
}

rc::Gen<kv_operation> operations() {
    const auto bytes = rc::gen::arbitrary<std::string>();
    return rc::gen::oneOf(
        rc::gen::construct<kv_operation>(rc::gen::construct<kv_range>(keys(), bytes)),
        rc::gen::construct<kv_operation>(rc::gen::construct<kv_put>(keys(), bytes, counts())),
        rc::gen::construct<kv_operation>(rc::gen::construct<kv_delete>(keys(), bytes)));
}

rc::Gen<kv_request> requests() {
    const auto branch = rc::gen::container<std::vector<kv_operation>>(operations());
    const auto compares = rc::gen::container<std::vector<kv_compare>>(
        rc::gen::construct<kv_compare>(keys(), counts()));
    const auto bytes = rc::gen::arbitrary<std::string>();
    return rc::gen::oneOf(
        rc::gen::construct<kv_request>(rc::gen::construct<kv_range>(keys(), bytes)),
        rc::gen::construct<kv_request>(rc::gen::construct<kv_txn>(compares, branch, branch)),
        rc::gen::construct<kv_request>(rc::gen::construct<kv_lease_grant>(counts())),
        rc::gen::construct<kv_request>(rc::gen::construct<kv_lease_keep_alive>(counts())),
        rc::gen::construct<kv_request>(rc::gen::construct<kv_lease_revoke>(counts())),
        rc::gen::construct<kv_request>(rc::gen::construct<kv_watch>(keys(), bytes, counts())));
}

} // namespace

TEST_CASE("requests are encoded as published") {
    const kv_txn txn{{{"foo", 7}}, {kv_put{"foo", "bar", 0}}, {kv_range{"foo", ""}}};
    CHECK(etcd_route(txn) == "/v3/kv/txn");
    CHECK(json::parse(encode_etcd_request(txn)) == json::parse(R"({
        "compare": [{"target": "MOD", "result": "EQUAL", "key": "Zm9v", "mod_revision": "7"}],
        "success": [{"request_put": {"key": "Zm9v", "value": "YmFy"}}],
        "failure": [{"request_range": {"key": "Zm9v"}}]})"));
}

TEST_CASE("published examples are read") {
    CHECK(request_from("/v3/kv/txn", R"({"compare":[{"modRevision":"2","target":"MOD",
        "key":"Zm9v"}],"success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}]})") ==
          std::variant<kv_request, etcd_json_error>(
              kv_request(kv_txn{{{"foo", 2}}, {kv_put{"foo", "bar", 0}}, {}})));
    CHECK(request_from("/v3/kv/lease/revoke", R"({"ID":7587848390082211})") ==
          std::variant<kv_request, etcd_json_error>(kv_request(kv_lease_revoke{7587848390082211})));
    const std::string line = R"({"result":{"header":{"cluster_id":"1","revision":"2"},
        "events":[{"kv":{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1",
        "value":"YmFy"}}]}})";
    CHECK(reply_from(kv_watch{"foo", "", 1}, line) ==
          std::variant<kv_reply, etcd_json_error>(
              kv_reply(kv_watch_result{2, false, {{false, {"foo", "bar", 2, 2, 0}}}})));
}

TEST_CASE("malformed requests are typed errors") {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"/v3/kv/range", "{"},
        {"/v3/kv/range", "[]"},
        {"/v3/kv/range", "{}"},
        {"/v3/kv/range", R"({"key":"Zm9"})"},
        {"/v3/kv/range", R"({"key":"Zm 9v"})"},
        {"/v3/kv/range", R"({"key":"Zm9v\n"})"},
        {"/v3/kv/range", R"({"key":"Zm9v    "})"},
        {"/v3/kv/range", R"({"key":"YR=="})"},
        {"/v3/kv/range", R"({"key":5})"},
        {"/v3/kv/range", R"({"key":"Zm9v","limit":1})"},
        {"/v3/kv/range", R"({"key":"Zm9v","range_end":"AA==","rangeEnd":"AA=="})"},
        {"/v3/kv/txn", R"({"compare":{}})"},
        {"/v3/kv/txn", R"({"compare":[{"target":"VALUE","key":"Zm9v"}]})"},
        {"/v3/kv/txn", R"({"compare":[{"target":"MOD","result":"LESS","key":"Zm9v"}]})"},
        {"/v3/kv/txn", R"({"success":[{"request_txn":{}}]})"},
        {"/v3/kv/txn", R"({"success":[{}]})"},
        {"/v3/lease/grant", R"({"TTL":"1x"})"},
        {"/v3/lease/grant", R"({"TTL":"99999999999999999999"})"},
        {"/v3/lease/grant", R"({"TTL":18446744073709551615})"},
        {"/v3/lease/grant", R"({"TTL":1.5})"},
        {"/v3/watch", R"({"cancel_request":{}})"}};
    for (const auto& [route, body] : cases) {
        CAPTURE(route, body);
        CHECK(std::get<etcd_json_error>(request_from(route, body)) == etcd_json_error::malformed);
    }
    CHECK(std::get<etcd_json_error>(request_from("/v3/kv/put", "{}")) ==
          etcd_json_error::unknown_route);
}

TEST_CASE("requests survive a round trip") {
    rc::prop("decode is the inverse of encode", [] {
        const kv_request request = *requests();
        const auto decoded = request_from(etcd_route(request), encode_etcd_request(request));
        RC_ASSERT(std::get<kv_request>(decoded) == request);
    });
}

TEST_CASE("replies of a store survive a round trip") {
    rc::prop("decode is the inverse of encode", [] {
        memory_store store;
        store.apply(kv_lease_grant{60}, time_point{});
        store.apply(kv_txn{{}, {kv_put{*keys(), *rc::gen::arbitrary<std::string>(), 1}}, {}},
                    time_point{});
        for (const kv_request& request : *rc::gen::container<std::vector<kv_request>>(requests())) {
            const kv_reply reply = store.apply(request, time_point{});
            if (!std::holds_alternative<kv_failure>(reply)) {
                const auto decoded = reply_from(request, encode_etcd_reply(request, reply));
                RC_ASSERT(std::get<kv_reply>(decoded) == reply);
            }
        }
    });
}

TEST_CASE("outside bytes never get past the decoders as an exception") {
    rc::prop("any bytes are a value or a typed error", [] {
        const kv_request request = *requests();
        const auto bytes = *rc::gen::arbitrary<std::string>();
        request_from(etcd_route(request), bytes);
        reply_from(request, bytes);
    });
    rc::prop("a damaged text is a value or a typed error", [] {
        const kv_request request = *requests();
        std::string body = encode_etcd_request(request);
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        body[at] = *rc::gen::arbitrary<char>();
        request_from(etcd_route(request), body);
        reply_from(request, body);
    });
}
