#include <peering/peer_messages.h>
#include <peering/peer_socket.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/asio/io_context.hpp>

#include <limits>
#include <string>
#include <variant>
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
    report.parts = {{{{"e1", 77}, {5, 6}}}, {{5, 3, 1}}, {{"e2", 78}}};
    report.gateways = {"10.0.0.3:7600"};
    report.catalogue_version = 8;
    report.store_age = duration{150};
    report.process_age = duration{7'000};
    report.versions = {{"m/a1", 3}};
    report.has_all_usage = false;
    report.avoided_servers = {{"e2", 99}};
    report.limits = {{{"e3", 98}, 1.5, duration{120}}, {{"e4", 97}, std::nullopt, duration{0}}};
    return {"10.0.0.1:7600", 5, 10, report, {"dc-2", 90, true}, {}};
}

peer_message permit_requests_message() {
    const serving::permit_requests requests{{{{"e3", 98}, 1.5, 4'000, 7, 2, 1}}};
    return {"10.0.0.1:7600", 5, 11, requests, {"dc-2", 90, true}, {}};
}

peer_message permit_grants_message() {
    const serving::permit_grants grants{{{{"e3", 98}, 4'000, 8, duration{500}, duration{700}}}};
    return {"10.0.0.3:7600", 5, 12, grants, {"dc-2", 90, true}, {}};
}

peer_message origin_records_message() {
    const serving::origin_records records{
        {{17, {"s1", "v1"}, duration{400}}, {18, {"s1", "v1.1"}, duration{0}}}};
    return {"10.0.0.1:7600", 5, 13, records, {"dc-2", 90, true}, {}};
}

peer_message software_query_message() {
    const serving::software_history history{
        serving::known_period{duration{9'000}, duration{100}},
        {{"s1", "v1", duration{8'000}}, {"s1", "v2", duration{100}}}};
    return {"10.0.0.1:7600",    5, 15, serving::software_message{true, history},
            {"dc-2", 90, true}, {}};
}

peer_message origin_query_message() {
    return {"10.0.0.1:7600", 5, 14, serving::origin_query{{17, 19}}, {"dc-2", 90, true}, {}};
}

/** A message as a relay forwards it. */
relayed_report relayed(const peer_message& message) {
    return {message.sender, message.incarnation, message.sequence, message.kind(), encode(message)};
}

peer_message bundle_message(std::vector<relayed_report> reports) {
    return {"10.0.0.9:7600", 3, 4, report_bundle{std::move(reports), true}, {}, {}};
}

/** A peer_socket on loopback that records its messages; send() writes raw datagrams to it. */
struct socket_fixture {
    socket_fixture()
        : receiver(loop, clock, {boost::asio::ip::make_address("127.0.0.1"), 0}, 1, {},
                   [this](const peer_message& message, const receive_info& info) {
                       received.push_back(message);
                       received_directly.push_back(info.is_direct);
                   }) {}

    void send(std::uint64_t incarnation) {
        auto message = gateway_message();
        message.incarnation = incarnation;
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
        const auto& own = receiver.own_address();
        const auto port = static_cast<std::uint16_t>(std::stoi(own.substr(own.rfind(':') + 1)));
        return {boost::asio::ip::make_address("127.0.0.1"), port};
    }

    boost::asio::io_context loop;
    manual_clock clock;
    std::vector<peer_message> received;
    std::vector<bool> received_directly;
    peer_socket receiver;
    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE("decoding an encoded message restores it") {
    const auto bundle = bundle_message({relayed(report_message()), relayed(gateway_message())});
    for (const auto& each :
         {demand_message(), report_message(), gateway_message(), bundle, permit_requests_message(),
          permit_grants_message(), origin_records_message(), origin_query_message(),
          software_query_message()}) {
        const auto read = decode(encode(each));
        REQUIRE(read.has_value());
        CHECK(*read == each);
    }
}

TEST_CASE("requests for permits without a valid limit are dropped, and large ones are bounded") {
    auto message = permit_requests_message();
    auto& requests = std::get<serving::permit_requests>(message.body).requests;
    auto invalid = requests.front();
    invalid.limit_per_s = -1;
    requests.push_back(invalid);
    invalid.limit_per_s = std::numeric_limits<double>::infinity();
    requests.push_back(invalid);
    requests.front().wanted = std::numeric_limits<std::uint32_t>::max();
    const auto read = decode(encode(message));
    REQUIRE(read.has_value());
    const auto& kept = std::get<serving::permit_requests>(read->body).requests;
    REQUIRE(kept.size() == 1);
    CHECK(kept.front().wanted == 1'000);
}

TEST_CASE("decoding malformed bytes fails without a crash") {
    CHECK_FALSE(decode("").has_value());
    rc::prop("arbitrary bytes", [](const std::string& bytes) { static_cast<void>(decode(bytes)); });
    rc::prop("a truncated message", [] {
        const auto encoded = encode(report_message());
        static_cast<void>(
            decode(encoded.substr(0, *rc::gen::inRange<std::size_t>(0, encoded.size()))));
    });
}

TEST_CASE("messages of an older incarnation are dropped while a newer one is active") {
    socket_fixture fixture;
    fixture.clock.advance_to(time_point{duration{10'000}});
    fixture.send(5);
    fixture.send(4);
    REQUIRE(fixture.received.size() == 1);
    CHECK(fixture.received[0].incarnation == 1);
    fixture.send(6);
    REQUIRE(fixture.received.size() == 2);
    CHECK(fixture.received[1].incarnation == 2);
}

TEST_CASE("a sender whose clock stepped back is accepted after the expiry, as a new incarnation") {
    socket_fixture fixture;
    fixture.clock.advance_to(time_point{duration{10'000}});
    fixture.send(5);
    fixture.clock.advance_to(time_point{duration{12'000}});
    fixture.send(3);
    REQUIRE(fixture.received.size() == 2);
    CHECK(fixture.received[1].incarnation == 2);
}

TEST_CASE("each report of a bundle is delivered once, whichever relay forwards it") {
    socket_fixture fixture;
    const auto bundle = bundle_message({relayed(report_message()), relayed(gateway_message())});
    fixture.send(encode(bundle));
    REQUIRE(fixture.received.size() == 3);
    CHECK(fixture.received[0].kind() == message_kind::bundle);
    CHECK(fixture.received[1].kind() == message_kind::engine);
    CHECK(fixture.received[2].kind() == message_kind::gateway);
    CHECK(fixture.received_directly == std::vector<bool>{true, false, false});
    auto again = bundle;
    again.sender = "10.0.0.8:7600";
    fixture.send(encode(again));
    CHECK(fixture.received.size() == 4); // only the second bundle message itself
    fixture.send(encode(gateway_message()));
    CHECK(fixture.received.size() == 4); // this report already arrived in the bundle
}

TEST_CASE("bundled reports that contradict their envelope are rejected, and malformed datagrams "
          "are counted") {
    socket_fixture fixture;
    auto other = relayed(gateway_message());
    other.sender = "10.0.0.7:7600";
    auto newer = relayed(gateway_message());
    newer.sequence += 5;
    auto demand = relayed(demand_message());
    demand.kind = message_kind::gateway;
    auto cut = relayed(report_message());
    cut.datagram.resize(cut.datagram.size() / 2);
    fixture.send(encode(bundle_message({other, newer, demand, cut})));
    CHECK(fixture.received.size() == 1);
    CHECK(fixture.receiver.malformed_datagrams() == 4);
    fixture.send("no message");
    CHECK(fixture.receiver.malformed_datagrams() == 5);
    fixture.send(encode(gateway_message()));
    CHECK(fixture.received.size() == 2);
}

TEST_CASE("a report about parts of prompts is decoded within bounds") {
    gateway_report report;
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        report.parts.crashes.push_back({{"e" + std::to_string(i), 1}, std::vector(1'000, i)});
        report.parts.starts.push_back({i, 4'000'000'000, 4'000'000'000});
        report.parts.alive.push_back({"e" + std::to_string(i), 1});
    }
    peer_message message;
    message.body = report;
    const auto decoded = decode(encode(message));
    REQUIRE(decoded);
    const auto& parts = std::get<gateway_report>(decoded->body).parts;
    CHECK(parts.crashes.size() == 64);
    CHECK(parts.crashes.front().parts.size() == 64);
    CHECK(parts.starts.size() == 256);
    CHECK(parts.starts.front() == serving::part_starts{0, 10'000, 10'000});
    CHECK(parts.alive.size() == 64);
}

TEST_CASE("a history whose period ends before it begins tells of no period") {
    auto message = software_query_message();
    auto& history = std::get<serving::software_message>(message.body).history;
    history.known = serving::known_period{duration{100}, duration{9'000}};
    const auto got = decode(encode(message));
    REQUIRE(got);
    const auto& read = std::get<serving::software_message>(got->body).history;
    CHECK_FALSE(read.known);
    CHECK(read.records == history.records);
}
