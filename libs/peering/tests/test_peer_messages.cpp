#include <peering/peer_messages.h>
#include <peering/peer_socket.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::peering;

namespace {

peer_message demand_message() {
    adapters::engine_demand demand;
    demand.backend_id = "e1";
    demand.backend_started_at_ms = 77;
    demand.adapters = {{{"m/a1", 3}, 2, 1, duration{120}, 4}};
    demand.queued_prompt_tokens = 9'000;
    demand.shape.adapter_slots = 7;
    demand.shape.weights_capacity_mb = 66'500;
    demand.shape.models = {{"m", 65'100, 12, {}}};
    demand.subscription = adapters::report_subscription::relay;
    return {"10.0.0.1:7600", 5, 9, demand, {"dc-1", 500}, {true, true}};
}

peer_message report_message() {
    engine_report report;
    report.backend_id = "e1";
    report.state.started_at_ms = 77;
    report.state.models = {{"m", 1}};
    report.state.adapters = {{{"m/a1", 3}, true, 0}, {{"m/a2", 1}, false, 4}};
    report.state.available_adapter_slots = 5;
    report.state.unplaced = 2;
    report.state.waiting = 1;
    report.state.running = 12;
    report.state.kv_used = 41'000;
    report.state.kv_total = 90'000;
    report.state.queued_prompt_tokens = 12;
    report.state.is_reachable = false;
    report.state.cold_loads = 17;
    report.state.last_cold_load = duration{260};
    report.gateways = {"10.0.0.1:7600"};
    return {"10.0.0.2:7600", 6, 1, report, {}, {}};
}

peer_message gateway_message() {
    gateway_report report;
    report.usage = {{"studio", {12'345, 678}}};
    report.crashes = {{42, "e1", 77}};
    report.gateways = {"10.0.0.3:7600"};
    report.catalogue_version = 8;
    report.store_age = duration{150};
    report.process_age = duration{7'000};
    report.versions = {{"m/a1", 3}};
    report.has_all_usage = false;
    report.avoided_servers = {{"e2", 99}};
    return {"10.0.0.1:7600", 5, 10, report, {"dc-2", 90}, {}};
}

/** A message as a relay hands it on. */
relayed_report relayed(const peer_message& message) {
    return {message.sender, message.incarnation, message.sequence, message.kind(), encode(message)};
}

peer_message bundle_message(std::vector<relayed_report> reports) {
    return {"10.0.0.9:7600", 3, 4, report_bundle{std::move(reports), true}, {}, {}};
}

/** Two sockets over loopback; messages to the first are kept. */
struct peer_pair {
    peer_pair()
        : to(loop, clock, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, {},
             [this](const peer_message& message, const receive_info& how) {
                 got.push_back(message);
                 was_direct.push_back(how.is_direct);
             }) {}

    void send(std::uint64_t life) {
        auto message = gateway_message();
        message.incarnation = life;
        message.sequence = ++sequence;
        send(encode(message));
    }

    void send(const std::string& datagram) {
        boost::asio::ip::udp::socket raw(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
        raw.send_to(boost::asio::buffer(datagram), target());
        loop.restart();
        loop.run_for(std::chrono::milliseconds(30));
    }

    boost::asio::ip::udp::endpoint target() const {
        const auto& own = to.own_address();
        const auto port = static_cast<std::uint16_t>(std::stoi(own.substr(own.rfind(':') + 1)));
        return {boost::asio::ip::make_address("127.0.0.1"), port};
    }

    boost::asio::io_context loop;
    manual_clock clock;
    std::vector<peer_message> got;
    std::vector<bool> was_direct;
    peer_socket to;
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("each message reads back as it was written") {
    const auto bundle = bundle_message({relayed(report_message()), relayed(gateway_message())});
    for (const auto& each : {demand_message(), report_message(), gateway_message(), bundle}) {
        const auto read = decode(encode(each));
        REQUIRE(read.has_value());
        CHECK(*read == each);
    }
}

TEST_CASE("bytes that are no message are none") {
    CHECK_FALSE(decode("").has_value());
    rc::prop("any bytes are read without harm",
             [](const std::string& bytes) { static_cast<void>(decode(bytes)); });
    rc::prop("so is a message that was cut", [] {
        const auto whole = encode(report_message());
        static_cast<void>(decode(whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size()))));
    });
}

TEST_CASE("messages of an earlier life are dropped while a later one is heard") {
    peer_pair with;
    with.clock.advance_to(time_point{duration{10'000}});
    with.send(5);
    with.send(4);
    REQUIRE(with.got.size() == 1);
    CHECK(with.got[0].incarnation == 1);
    with.send(6);
    REQUIRE(with.got.size() == 2);
    CHECK(with.got[1].incarnation == 2);
}

TEST_CASE("a sender whose clock stepped back is heard again after a while, as a later life") {
    peer_pair with;
    with.clock.advance_to(time_point{duration{10'000}});
    with.send(5);
    with.clock.advance_to(time_point{duration{12'000}});
    with.send(3);
    REQUIRE(with.got.size() == 2);
    CHECK(with.got[1].incarnation == 2);
}

TEST_CASE("each report of a bundle is taken once, whoever hands it on") {
    peer_pair with;
    const auto bundle = bundle_message({relayed(report_message()), relayed(gateway_message())});
    with.send(encode(bundle));
    REQUIRE(with.got.size() == 3);
    CHECK(with.got[0].kind() == message_kind::bundle);
    CHECK(with.got[1].kind() == message_kind::engine);
    CHECK(with.got[2].kind() == message_kind::gateway);
    CHECK(with.was_direct == std::vector<bool>{true, false, false});
    auto again = bundle;
    again.sender = "10.0.0.8:7600";
    with.send(encode(again));
    CHECK(with.got.size() == 4); // the bundle alone
    with.send(encode(gateway_message()));
    CHECK(with.got.size() == 4); // it was heard through the relays already
}

TEST_CASE("a relay's word for what it hands on isn't taken, and strangers' bytes are counted") {
    peer_pair with;
    auto other = relayed(gateway_message());
    other.sender = "10.0.0.7:7600";
    auto newer = relayed(gateway_message());
    newer.sequence += 5;
    auto demand = relayed(demand_message());
    demand.kind = message_kind::gateway;
    auto cut = relayed(report_message());
    cut.datagram.resize(cut.datagram.size() / 2);
    with.send(encode(bundle_message({other, newer, demand, cut})));
    CHECK(with.got.size() == 1);
    CHECK(with.to.malformed_datagrams() == 4);
    with.send("no message");
    CHECK(with.to.malformed_datagrams() == 5);
    with.send(encode(gateway_message()));
    CHECK(with.got.size() == 2);
}
