#include <peering/peer_messages.h>
#include <peering/relay_directory.h>
#include <peering/report_bundler.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::peering;

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point{duration{ms}};
}

std::string address_of(std::size_t i) {
    return "10.0.0." + std::to_string(i) + ":7600";
}

/**
 * Simulates gateways in virtual time that exchange reports like entry's peer_transport: each
 * reports to its relays every 200 ms, and relays forward every 100 ms. Links can be cut and
 * datagrams lost.
 */
class simulated_fleet {
public:
    /**
     * Initially, gateways know all others if `known` is their number, else only the first `known`
     * ones, the seeds.
     */
    simulated_fleet(std::size_t gateways, std::size_t data_centres, std::size_t known)
        : last_received_(gateways), seed_count_(known) {
        for (std::size_t i = 0; i < gateways; ++i) {
            const peer_attributes attributes{"dc-" + std::to_string(i % data_centres),
                                             static_cast<std::uint32_t>(i % 3 == 0 ? 500 : 90)};
            nodes_.push_back({attributes, relay_directory(address_of(i), attributes, {}),
                              report_bundler(8'192)});
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            for (std::size_t j = 0; j < gateways && known == gateways; ++j) {
                nodes_[i].directory.on_gateway_seen(address_of(j), nodes_[j].attributes, true,
                                                    at_ms(now_));
                last_received_[i][j] = now_;
            }
        }
    }

    simulated_fleet(std::size_t gateways, std::size_t data_centres)
        : simulated_fleet(gateways, data_centres, gateways) {}

    void run(std::int64_t ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += step_ms) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (stopped.count(i) == 0) {
                    advance(i);
                }
            }
        }
    }

    /** The longest time for which a live gateway has received nothing from another live one. */
    std::int64_t longest_silence() const {
        std::int64_t longest = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                if (i != j && stopped.count(i) == 0 && stopped.count(j) == 0) {
                    const auto found = last_received_[i].find(j);
                    longest = std::max(
                        longest, found == last_received_[i].end() ? now_ : now_ - found->second);
                }
            }
        }
        return longest;
    }

    std::size_t max_sent() const {
        std::size_t highest = 0;
        for (const auto& each : nodes_) {
            highest = std::max(highest, each.sent);
        }
        return highest;
    }
    std::size_t sent() const {
        std::size_t all = 0;
        for (const auto& each : nodes_) {
            all += each.sent;
        }
        return all;
    }
    void reset_sent() {
        for (auto& each : nodes_) {
            each.sent = 0;
        }
    }
    std::vector<std::size_t> relays_of(const std::string& data_centre, std::size_t viewer) {
        std::vector<std::size_t> out;
        for (const auto& each : nodes_[viewer].directory.select_relays(data_centre, at_ms(now_))) {
            out.push_back(index_of(each));
        }
        return out;
    }

    std::set<std::size_t> stopped;
    /** Pairs of sender and receiver. */
    std::set<std::pair<std::size_t, std::size_t>> cut_links;
    /** Loses each datagram whose number is a multiple of it; 0: loses none. */
    std::size_t loss_interval = 0;

private:
    struct node {
        peer_attributes attributes;
        relay_directory directory;
        report_bundler bundler;
        std::size_t sent = 0;
        std::set<std::string> learned{};
    };
    static constexpr std::int64_t step_ms = 50;

    static std::size_t index_of(const std::string& address) {
        return static_cast<std::size_t>(std::stoul(address.substr(7, address.find(':') - 7)));
    }

    void advance(std::size_t i) {
        const auto phase = static_cast<std::int64_t>(i % 4) * step_ms;
        if ((now_ + phase) % 200 == 0) {
            report(i);
        }
        if ((now_ + phase) % 100 == 0) {
            forward(i);
        }
    }

    bool try_deliver(std::size_t from, std::size_t to) {
        ++nodes_[from].sent;
        const bool is_lost = loss_interval != 0 && ++datagrams_ % loss_interval == 0;
        return !is_lost && stopped.count(to) == 0 && cut_links.count({from, to}) == 0;
    }

    void record_receipt(std::size_t receiver_index, std::size_t sender_index, bool is_direct) {
        nodes_[receiver_index].directory.on_gateway_seen(
            address_of(sender_index), nodes_[sender_index].attributes, is_direct, at_ms(now_));
        last_received_[receiver_index][sender_index] = now_;
    }

    void report(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        if (self.directory.sends_directly(now)) {
            send_directly(i);
            return;
        }
        relayed_report report;
        report.sender = address_of(i);
        for (const auto& each : self.directory.select_relays(self.attributes.data_centre, now)) {
            const auto to = index_of(each);
            if (to == i || try_deliver(i, to)) {
                nodes_[to].bundler.add(report, report_origin::sender);
            }
            if (to != i && stopped.count(to) == 0 && cut_links.count({i, to}) == 0) {
                record_receipt(to, i, true);
            }
        }
    }

    void send_directly(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        const auto peers = self.directory.peers(now);
        std::set<std::string> targets(peers.begin(), peers.end());
        targets.insert(self.learned.begin(), self.learned.end());
        for (std::size_t seed = 0; seed < std::min<std::size_t>(seed_count_, 3); ++seed) {
            targets.insert(address_of(seed));
        }
        targets.erase(address_of(i));
        for (const auto& each : targets) {
            const auto to = index_of(each);
            if (!try_deliver(i, to)) {
                continue;
            }
            record_receipt(to, i, true);
            auto& other = nodes_[to].directory;
            if (!other.sends_directly(now)) {
                const auto addresses = other.bootstrap_peers(address_of(i), now);
                self.learned.insert(addresses.begin(), addresses.end());
            }
        }
    }

    void forward(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        const bool is_relay = !self.directory.sends_directly(now) &&
                              self.directory.is_relay_for(self.attributes.data_centre, now);
        if (!is_relay && self.bundler.is_empty()) {
            return;
        }
        const auto remote = self.bundler.for_other_data_centres();
        const auto local = self.bundler.for_own_data_centre();
        self.bundler.clear();
        for (const auto& each : self.directory.select_remote_relays(now)) {
            deliver(i, index_of(each), remote, true);
        }
        for (const auto& each : self.directory.local_peers(now)) {
            deliver(i, index_of(each), local, false);
        }
    }

    void deliver(std::size_t from, std::size_t to, const std::vector<report_bundle>& bundles,
                 bool is_for_remote) {
        if (!try_deliver(from, to)) {
            return;
        }
        record_receipt(to, from, true);
        for (const auto& bundle : bundles) {
            CHECK(bundle.is_for_data_centre == is_for_remote);
            for (const auto& each : bundle.reports) {
                const auto sender_index = index_of(each.sender);
                if (sender_index == to) {
                    continue;
                }
                record_receipt(to, sender_index, false);
                if (is_for_remote) {
                    nodes_[to].bundler.add(each, report_origin::remote_relay);
                }
            }
        }
    }

    std::int64_t now_ = 10'000;
    std::size_t datagrams_ = 0;
    std::vector<node> nodes_;
    std::vector<std::map<std::size_t, std::int64_t>> last_received_;
    std::size_t seed_count_;
};

// A peer that is silent for longer counts as gone, which costs each account a part of its rate.
constexpr std::int64_t peer_silence_ms = 600;

} // namespace

TEST_CASE("gateways of a small fleet report to all peers directly") {
    simulated_fleet fleet(12, 4);
    fleet.run(2'000);
    CHECK(fleet.longest_silence() <= 200);
    CHECK(fleet.sent() == 1'320); // 12 gateways, 11 peers, 10 reports
}

TEST_CASE("load: in a large fleet reports reach every gateway, and gateways that are not relays "
          "send few datagrams") {
    for (const std::size_t gateways : {30U, 100U, 250U}) {
        simulated_fleet fleet(gateways, 5);
        fleet.run(2'000);
        fleet.reset_sent();
        fleet.run(2'000);
        INFO(gateways);
        CHECK(fleet.longest_silence() <= peer_silence_ms);
        // Each gateway sends 10 reports to 2 relays; the 10 relays forward 20 times each, to their
        // own data centre and to 4 others.
        CHECK(fleet.sent() <= gateways * 20 + 200 * (gateways / 5 + 4));
    }
}

TEST_CASE("load: gateways that start together and know only the seeds discover all others") {
    for (const std::size_t gateways : {20U, 68U}) {
        for (const std::size_t data_centres : {1U, 4U, 6U}) {
            simulated_fleet fleet(gateways, data_centres, 3);
            fleet.run(5'000);
            INFO(gateways << " gateways in " << data_centres << " data centres");
            CHECK(fleet.longest_silence() <= peer_silence_ms);
        }
    }
}

TEST_CASE("relays are the gateways of highest capacity, the same in every gateway's view") {
    simulated_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto chosen = fleet.relays_of("dc-0", 0);
    REQUIRE(chosen.size() == 2);
    CHECK(fleet.relays_of("dc-0", 7) == chosen);
    for (const auto each : chosen) {
        CHECK(each % 3 == 0);
    }
}

TEST_CASE("permits are granted by live gateways of a version that does") {
    relay_directory directory("10.0.0.1:7600", {"dc-1", 100, true}, {});
    directory.on_gateway_seen("10.0.0.2:7600", {"dc-1", 100, true}, true, at_ms(0));
    directory.on_gateway_seen("10.0.0.3:7600", {"dc-1", 100, false}, true, at_ms(0));
    const std::vector<std::string> both{"10.0.0.1:7600", "10.0.0.2:7600"};
    CHECK(directory.live_granters(at_ms(1'000)) == both);
    CHECK(directory.live_granters(at_ms(1'500)) == std::vector<std::string>{"10.0.0.1:7600"});
}

TEST_CASE("load: when both relays of a data centre stop at once, other gateways replace them") {
    simulated_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto before = fleet.relays_of("dc-1", 1);
    fleet.stopped.insert(before.begin(), before.end());
    std::int64_t longest = 0;
    for (int i = 0; i < 60; ++i) {
        fleet.run(50);
        longest = std::max(longest, fleet.longest_silence());
    }
    CHECK(longest <= 1'500); // gateways keep using an engine's last reported state until then
    CHECK(fleet.longest_silence() <= peer_silence_ms);
    fleet.reset_sent();
    fleet.run(1'000);
    CHECK(fleet.max_sent() < 280); // reports go through relays again
}

TEST_CASE("a relay that sends but receives nothing does not interrupt reports") {
    simulated_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto relay = fleet.relays_of("dc-1", 1).front();
    for (std::size_t i = 0; i < 60; ++i) {
        fleet.cut_links.insert({i, relay});
    }
    fleet.run(3'000);
    for (int i = 0; i < 20; ++i) {
        fleet.run(50);
        // Leaves out the isolated relay, which receives nothing; all others still receive reports.
        fleet.stopped.insert(relay);
        CHECK(fleet.longest_silence() <= peer_silence_ms);
        fleet.stopped.erase(relay);
    }
}

TEST_CASE("property: after stopped gateways and datagram loss, all live gateways receive each "
          "other's reports") {
    rc::prop("all live gateways receive each other's reports again", [] {
        const auto gateways = *rc::gen::inRange<std::size_t>(17, 50);
        const auto data_centres = *rc::gen::inRange<std::size_t>(1, 6);
        simulated_fleet fleet(gateways, data_centres);
        fleet.loss_interval = *rc::gen::element<std::size_t>(0, 7, 23);
        const auto stopped_count = *rc::gen::inRange<std::size_t>(0, gateways);
        for (std::size_t i = 0; i < stopped_count; ++i) {
            fleet.stopped.insert(*rc::gen::inRange<std::size_t>(0, gateways));
        }
        fleet.run(*rc::gen::inRange<std::int64_t>(1, 40) * 50);
        fleet.stopped.clear(); // all gateways are up again
        fleet.loss_interval = 0;
        fleet.run(6'000);
        RC_ASSERT(fleet.longest_silence() <= peer_silence_ms);
    });
}

TEST_CASE(
    "the bundler keeps the newest report of each sender and kind, in bundles of bounded size") {
    report_bundler bundler(1'000);
    for (std::uint64_t i = 0; i < 40; ++i) {
        const std::string sender = "s" + std::to_string(i % 10);
        bundler.add({sender, 1, i, message_kind::engine, std::string(300, 'x')},
                    i % 2 == 0 ? report_origin::sender : report_origin::remote_relay);
    }
    std::size_t reports = 0;
    for (const auto& bundle : bundler.for_own_data_centre()) {
        CHECK(bundle.reports.size() <= 3);
        reports += bundle.reports.size();
        for (const auto& each : bundle.reports) {
            CHECK(each.sequence >= 30);
        }
    }
    CHECK(reports == 10);
    std::size_t remote = 0;
    for (const auto& bundle : bundler.for_other_data_centres()) {
        CHECK(bundle.is_for_data_centre);
        remote += bundle.reports.size();
    }
    CHECK(remote == 5);
    bundler.add({"large", 1, 1, message_kind::engine, std::string(3'000, 'x')},
                report_origin::sender);
    const auto bundles = bundler.for_own_data_centre();
    const auto alone = std::count_if(bundles.begin(), bundles.end(), [](const auto& each) {
        return each.reports.front().sender == "large" && each.reports.size() == 1;
    });
    CHECK(alone == 1);
    bundler.clear();
    CHECK(bundler.is_empty());
}
