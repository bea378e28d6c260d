#include <peering/registrations.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;

namespace {

serving::backend_server any_server() {
    serving::backend_server out;
    out.service = "desk";
    out.address = {"10.0.0.1", *rc::gen::arbitrary<std::uint16_t>()};
    out.data_centre = "dc-1";
    out.slots = *rc::gen::arbitrary<std::uint32_t>();
    out.is_draining = *rc::gen::arbitrary<bool>();
    out.started_at_ms = *rc::gen::arbitrary<std::uint64_t>();
    out.id = "server-" + std::to_string(out.started_at_ms);
    out.held = {{"m/a", *rc::gen::arbitrary<std::uint64_t>()}};
    out.software_version = "v1." + std::to_string(out.slots);
    return out;
}

} // namespace

TEST_CASE("decoding an encoded registration snapshot restores it") {
    rc::prop("encode and decode", [] {
        peering::registration_snapshot page;
        page.servers = {any_server(), {}};
        page.position = {*rc::gen::arbitrary<std::uint64_t>(),
                         *rc::gen::arbitrary<std::uint64_t>()};
        if (*rc::gen::arbitrary<bool>()) {
            page.awaited = {page.servers.front().id};
        }
        page.is_settled = *rc::gen::arbitrary<bool>();
        page.store_age = duration{*rc::gen::inRange(0, 5'000)};
        page.catalogue_version = *rc::gen::arbitrary<std::uint64_t>();
        RC_ASSERT(peering::decode_registrations(peering::encode_registrations(page)) == page);
    });
}

TEST_CASE("decoding malformed registrations fails") {
    CHECK_FALSE(peering::decode_registrations("\xff\xff\xff"));
}
