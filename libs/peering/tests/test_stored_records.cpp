#include <peering/stored_records.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::peering;

namespace {

serving::fleet_checkpoint make_checkpoint() {
    serving::fleet_checkpoint out;
    out.position = {2, 530};
    out.reach = duration{41'000};
    out.software = {{"engines", "v1", duration{0}}, {"engines", "", duration{7'000}}};
    serving::route route;
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.kind = serving::request_kind::streaming;
    route.services = {{"engines", 3}, {"other", 1}};
    out.routes = {route};
    out.route_changes = {{"a.example", "/x/", duration{900}}};
    return out;
}

serving::origin_chunk make_origins() {
    return {{{"engines", "v1"}, {1, 0xffff'ffff'ffff'ffff}}, {{"engines", "v2"}, {7}}};
}

} // namespace

TEST_CASE("a checkpoint and origins are read as they were written") {
    CHECK(decode_checkpoint(encode_checkpoint(make_checkpoint())) == make_checkpoint());
    CHECK(decode_origins(encode_origins(make_origins())) == make_origins());
}

TEST_CASE("keys of origins tell gateways, their processes and records apart") {
    CHECK(origins_key("10.0.0.1:7600", 5, 2) == "camphorgrade/origins/10.0.0.1:7600/5/2");
    CHECK(checkpoint_key.substr(0, record_prefix.size()) == record_prefix);
    CHECK(origins_prefix.substr(0, record_prefix.size()) == record_prefix);
}

// Guards against a record of another format, or none, that is believed.
TEST_CASE("what isn't a record of this format is not read") {
    CHECK_FALSE(decode_checkpoint("").has_value());
    CHECK_FALSE(decode_origins("").has_value());
    CHECK_FALSE(decode_checkpoint("not a record").has_value());
    auto negative = make_checkpoint();
    negative.reach = duration{-1};
    CHECK_FALSE(decode_checkpoint(encode_checkpoint(negative)).has_value());
    negative = make_checkpoint();
    negative.software.front().age = duration{-5};
    CHECK_FALSE(decode_checkpoint(encode_checkpoint(negative)).has_value());
    auto large = make_checkpoint();
    large.software.resize(1'000, {"s", "v", duration{0}});
    CHECK_FALSE(decode_checkpoint(encode_checkpoint(large)).has_value());
}

TEST_CASE("records with bytes changed are rejected, or hold ages that can be computed with") {
    rc::prop("changed bytes", [](const std::string& noise) {
        auto bytes = encode_checkpoint(make_checkpoint());
        for (const char each : noise) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = each;
        }
        if (const auto read = decode_checkpoint(bytes)) {
            RC_ASSERT(read->reach >= duration::zero());
            for (const auto& each : read->software) {
                RC_ASSERT(each.age >= duration::zero());
            }
        }
        static_cast<void>(decode_origins(bytes));
    });
}
