// Messages with bytes changed: they are rejected, or hold numbers that can be computed with.
#include <peering/peer_messages.h>
#include <peering/peer_socket.h>
#include <peering/registrations.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <boost/asio/io_context.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <variant>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::peering;

namespace {

constexpr duration longest_age{31'536'000'000}; // a year

constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
constexpr double infinity = std::numeric_limits<double>::infinity();

adapters::engine_demand make_demand() {
    adapters::engine_demand out;
    out.backend_id = "e1";
    out.adapters = {{{"m/a1", 3}, 2, 1, duration{120}, 4}};
    out.shape.weights_capacity_mb = 66'500;
    out.shape.models = {{"m", 65'100, 12, {}}};
    return out;
}

engine_report make_engine_report() {
    engine_report out;
    out.backend_id = "e1";
    out.state.models = {{"m", 1}};
    out.state.adapters = {{{"m/a1", 3}, true, 0}};
    out.gateways = {"10.0.0.1:7600"};
    return out;
}

gateway_report make_gateway_report() {
    gateway_report out;
    out.usage = {{"studio", {12'345, 678}}};
    out.crashes = {{42, "e1", 77}};
    out.store_age = duration{150};
    out.process_age = duration{7'000};
    out.versions = {{"m/a1", 3}};
    out.limits = {{{"e3", 98}, 1.5, duration{120}}};
    return out;
}

peer_message from_peer(peer_body body) {
    return {"10.0.0.1:7600", 5, 9, std::move(body), {"dc-1", 500, true}, {}};
}

std::vector<peer_message> messages() {
    const auto report = from_peer(make_gateway_report());
    const report_bundle bundle{
        {{report.sender, report.incarnation, report.sequence, report.kind(), encode(report)}},
        true};
    const serving::permit_requests requests{{{{"e3", 98}, 1.5, 4'000, 7, 2, 1}}};
    const serving::permit_grants grants{{{{"e3", 98}, 4'000, 8, duration{500}, duration{700}}}};
    return {from_peer(make_demand()),
            from_peer(make_engine_report()),
            report,
            from_peer(bundle),
            from_peer(requests),
            from_peer(grants)};
}

std::string changed(std::string bytes) {
    for (auto left = *rc::gen::inRange(1, 6); left > 0 && !bytes.empty(); --left) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            bytes[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            bytes.insert(at, *rc::gen::inRange<std::size_t>(1, 9), '\xff');
            break;
        default:
            bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
        }
    }
    return bytes;
}

bool is_age(duration age) {
    return age >= duration{-1} && age <= longest_age;
}

struct number_check {
    bool operator()(const adapters::engine_demand& demand) const {
        bool is_sound = demand.shape.weights_capacity_mb >= 0;
        for (const auto& each : demand.shape.models) {
            is_sound = is_sound && each.weights_mb >= 0 && each.adapter_mb >= 0;
        }
        return is_sound;
    }
    bool operator()(const gateway_report& report) const {
        bool is_sound = is_age(report.store_age) && is_age(report.process_age);
        for (const auto& each : report.limits) {
            is_sound = is_sound && std::isfinite(each.requests_per_s.value_or(0)) &&
                       each.requests_per_s.value_or(0) >= 0;
        }
        return is_sound;
    }
    template <typename Other>
    bool operator()(const Other&) const {
        return true;
    }
};

} // namespace

TEST_CASE("a message with changed bytes is rejected, or its numbers are in range") {
    rc::prop("changed messages", [] {
        for (const auto& each : messages()) {
            if (const auto got = decode(changed(encode(each)))) {
                RC_ASSERT(std::visit(number_check{}, got->body));
                RC_ASSERT(decode(encode(*got)) == got);
            }
        }
    });
    rc::prop("changed registrations", [] {
        registration_snapshot snapshot;
        snapshot.servers.push_back({"i-1", "s", {"10.0.0.1", 80}, "z", 4, false, 7, {{"m", 1}}});
        snapshot.store_age = duration{300};
        if (const auto got = decode_registrations(changed(encode_registrations(snapshot)))) {
            RC_ASSERT(is_age(got->store_age));
        }
    });
}

TEST_CASE("ages in messages are limited, and negative ones mean never") {
    for (const auto age : {duration::max(), duration::min(), duration{-2}}) {
        auto report = make_gateway_report();
        report.store_age = age;
        const auto got = decode(encode(from_peer(report)));
        REQUIRE(got.has_value());
        CHECK(is_age(std::get<gateway_report>(got->body).store_age));
        registration_snapshot snapshot;
        snapshot.store_age = age;
        CHECK(is_age(decode_registrations(encode_registrations(snapshot))->store_age));
    }
}

TEST_CASE("amounts that can't be computed with are not taken from a peer") {
    for (const double number : {not_a_number, infinity, -1.0}) {
        auto demand = make_demand();
        demand.shape.models.front().adapter_mb = number;
        CHECK_FALSE(decode(encode(from_peer(demand))).has_value());
        auto report = make_gateway_report();
        report.limits.front().requests_per_s = number;
        const auto got = decode(encode(from_peer(report)));
        REQUIRE(got.has_value());
        CHECK(std::get<gateway_report>(got->body).limits.empty());
    }
}

TEST_CASE("a message whose sender is no address is malformed") {
    boost::asio::io_context loop;
    manual_clock clock;
    std::size_t received = 0;
    peer_socket receiver(loop, clock, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, {},
                         [&](const peer_message&, const receive_info&) { ++received; });
    const auto& own = receiver.own_address();
    const auto port = static_cast<std::uint16_t>(std::stoi(own.substr(own.rfind(':') + 1)));
    boost::asio::ip::udp::socket raw(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    for (const std::string sender : {"", "nowhere", "nowhere:80", "10.0.0.1:70000", "10.0.0.1:1"}) {
        auto message = from_peer(make_gateway_report());
        message.sender = sender;
        raw.send_to(boost::asio::buffer(encode(message)),
                    {boost::asio::ip::make_address("127.0.0.1"), port});
    }
    loop.run_for(std::chrono::milliseconds(200));
    CHECK(received == 1);
    CHECK(receiver.malformed_datagrams() == 4);
}
