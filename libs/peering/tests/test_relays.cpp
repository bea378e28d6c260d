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
 * Gateways under virtual time which tell each other that they live, as peer_transport does: every
 * 200 ms to their relays, which hand on every 100 ms. Links may be cut and datagrams lost.
 */
class model_fleet {
public:
    /** All know each other, or only the first ones: the seeds. */
    model_fleet(std::size_t gateways, std::size_t centres, std::size_t known)
        : heard_(gateways), seeds_(known) {
        for (std::size_t i = 0; i < gateways; ++i) {
            const peer_attributes identity{"dc-" + std::to_string(i % centres),
                                           static_cast<std::uint32_t>(i % 3 == 0 ? 500 : 90)};
            nodes_.push_back(
                {identity, relay_directory(address_of(i), identity, {}), report_bundler(8'192)});
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            for (std::size_t j = 0; j < gateways && known == gateways; ++j) {
                nodes_[i].directory.on_gateway_seen(address_of(j), nodes_[j].identity, true,
                                                    at_ms(now_));
                heard_[i][j] = now_;
            }
        }
    }

    model_fleet(std::size_t gateways, std::size_t centres)
        : model_fleet(gateways, centres, gateways) {}

    void run(std::int64_t ms) {
        for (const auto end = now_ + ms; now_ < end; now_ += step_ms) {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (down.count(i) == 0) {
                    act(i);
                }
            }
        }
    }

    /** The longest that any live gateway hasn't heard of any other live one. */
    std::int64_t oldest_news() const {
        std::int64_t oldest = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            for (std::size_t j = 0; j < nodes_.size(); ++j) {
                if (i != j && down.count(i) == 0 && down.count(j) == 0) {
                    const auto found = heard_[i].find(j);
                    oldest =
                        std::max(oldest, found == heard_[i].end() ? now_ : now_ - found->second);
                }
            }
        }
        return oldest;
    }

    std::size_t most_sent() const {
        std::size_t most = 0;
        for (const auto& each : nodes_) {
            most = std::max(most, each.sent);
        }
        return most;
    }
    std::size_t sent() const {
        std::size_t all = 0;
        for (const auto& each : nodes_) {
            all += each.sent;
        }
        return all;
    }
    void forget_sent() {
        for (auto& each : nodes_) {
            each.sent = 0;
        }
    }
    std::vector<std::size_t> relays_of(const std::string& centre, std::size_t seen_by) {
        std::vector<std::size_t> out;
        for (const auto& each : nodes_[seen_by].directory.select_relays(centre, at_ms(now_))) {
            out.push_back(index_of(each));
        }
        return out;
    }

    std::set<std::size_t> down;
    std::set<std::pair<std::size_t, std::size_t>> cut; /**< From, to. */
    std::size_t lose_every = 0;                        /**< Datagram; 0: none. */

private:
    struct node {
        peer_attributes identity;
        relay_directory directory;
        report_bundler bundler;
        std::size_t sent = 0;
        std::set<std::string> named{};
    };
    static constexpr std::int64_t step_ms = 50;

    static std::size_t index_of(const std::string& address) {
        return static_cast<std::size_t>(std::stoul(address.substr(7, address.find(':') - 7)));
    }

    void act(std::size_t i) {
        const auto phase = static_cast<std::int64_t>(i % 4) * step_ms;
        if ((now_ + phase) % 200 == 0) {
            report(i);
        }
        if ((now_ + phase) % 100 == 0) {
            hand_on(i);
        }
    }

    bool arrives(std::size_t from, std::size_t to) {
        ++nodes_[from].sent;
        const bool is_lost = lose_every != 0 && ++datagrams_ % lose_every == 0;
        return !is_lost && down.count(to) == 0 && cut.count({from, to}) == 0;
    }

    void hear(std::size_t who, std::size_t whom, bool is_direct) {
        nodes_[who].directory.on_gateway_seen(address_of(whom), nodes_[whom].identity, is_direct,
                                              at_ms(now_));
        heard_[who][whom] = now_;
    }

    void report(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        if (self.directory.sends_directly(now)) {
            tell_directly(i);
            return;
        }
        relayed_report report;
        report.sender = address_of(i);
        for (const auto& each : self.directory.select_relays(self.identity.data_centre, now)) {
            const auto to = index_of(each);
            if (to == i || arrives(i, to)) {
                nodes_[to].bundler.add(report, report_origin::sender);
            }
            if (to != i && down.count(to) == 0 && cut.count({i, to}) == 0) {
                hear(to, i, true);
            }
        }
    }

    void tell_directly(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        const auto peers = self.directory.peers(now);
        std::set<std::string> targets(peers.begin(), peers.end());
        targets.insert(self.named.begin(), self.named.end());
        for (std::size_t seed = 0; seed < std::min<std::size_t>(seeds_, 3); ++seed) {
            targets.insert(address_of(seed));
        }
        targets.erase(address_of(i));
        for (const auto& each : targets) {
            const auto to = index_of(each);
            if (!arrives(i, to)) {
                continue;
            }
            hear(to, i, true);
            auto& other = nodes_[to].directory;
            if (!other.sends_directly(now)) {
                const auto names = other.bootstrap_peers(address_of(i), now);
                self.named.insert(names.begin(), names.end());
            }
        }
    }

    void hand_on(std::size_t i) {
        auto& self = nodes_[i];
        const auto now = at_ms(now_);
        const bool is_relay = !self.directory.sends_directly(now) &&
                              self.directory.is_relay_for(self.identity.data_centre, now);
        if (!is_relay && self.bundler.is_empty()) {
            return;
        }
        const auto outwards = self.bundler.for_other_data_centres();
        const auto inwards = self.bundler.for_own_data_centre();
        self.bundler.clear();
        for (const auto& each : self.directory.select_remote_relays(now)) {
            deliver(i, index_of(each), outwards, true);
        }
        for (const auto& each : self.directory.local_peers(now)) {
            deliver(i, index_of(each), inwards, false);
        }
    }

    void deliver(std::size_t from, std::size_t to, const std::vector<report_bundle>& bundles,
                 bool is_outwards) {
        if (!arrives(from, to)) {
            return;
        }
        hear(to, from, true);
        for (const auto& bundle : bundles) {
            CHECK(bundle.is_for_data_centre == is_outwards);
            for (const auto& each : bundle.reports) {
                const auto whom = index_of(each.sender);
                if (whom == to) {
                    continue;
                }
                hear(to, whom, false);
                if (is_outwards) {
                    nodes_[to].bundler.add(each, report_origin::remote_relay);
                }
            }
        }
    }

    std::int64_t now_ = 10'000;
    std::size_t datagrams_ = 0;
    std::vector<node> nodes_;
    std::vector<std::map<std::size_t, std::int64_t>> heard_;
    std::size_t seeds_;
};

// A peer that isn't heard for longer counts as silent, which takes away a part of each account's
// rate.
constexpr std::int64_t peer_silence_ms = 600;

} // namespace

TEST_CASE("a small fleet tells all peers directly") {
    model_fleet fleet(12, 4);
    fleet.run(2'000);
    CHECK(fleet.oldest_news() <= 200);
    CHECK(fleet.sent() == 1'320); // twelve tell eleven, ten times
}

TEST_CASE("load: in a large fleet all hear of all, and a gateway that is no relay sends little") {
    for (const std::size_t gateways : {30U, 100U, 250U}) {
        model_fleet fleet(gateways, 5);
        fleet.run(2'000);
        fleet.forget_sent();
        fleet.run(2'000);
        INFO(gateways);
        CHECK(fleet.oldest_news() <= peer_silence_ms);
        // Each sends to two relays ten times; the ten relays hand on twenty times, each to its own
        // data centre and to four others.
        CHECK(fleet.sent() <= gateways * 20 + 200 * (gateways / 5 + 4));
    }
}

TEST_CASE("load: gateways that start together and know the seeds alone come to know all") {
    for (const std::size_t gateways : {20U, 68U}) {
        for (const std::size_t centres : {1U, 4U, 6U}) {
            model_fleet fleet(gateways, centres, 3);
            fleet.run(5'000);
            INFO(gateways << " gateways in " << centres << " data centres");
            CHECK(fleet.oldest_news() <= peer_silence_ms);
        }
    }
}

TEST_CASE("relays are the gateways of most capacity, the same in all views") {
    model_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto chosen = fleet.relays_of("dc-0", 0);
    REQUIRE(chosen.size() == 2);
    CHECK(fleet.relays_of("dc-0", 7) == chosen);
    for (const auto each : chosen) {
        CHECK(each % 3 == 0);
    }
}

TEST_CASE("load: when both relays of a data centre die at once, others take over") {
    model_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto before = fleet.relays_of("dc-1", 1);
    fleet.down.insert(before.begin(), before.end());
    std::int64_t worst = 0;
    for (int i = 0; i < 60; ++i) {
        fleet.run(50);
        worst = std::max(worst, fleet.oldest_news());
    }
    CHECK(worst <= 1'500); // until then the states of engines count as known
    CHECK(fleet.oldest_news() <= peer_silence_ms);
    fleet.forget_sent();
    fleet.run(1'000);
    CHECK(fleet.most_sent() < 280); // no longer directly
}

TEST_CASE("a relay that sends but can't be reached doesn't stop the news") {
    model_fleet fleet(60, 3);
    fleet.run(1'000);
    const auto relay = fleet.relays_of("dc-1", 1).front();
    for (std::size_t i = 0; i < 60; ++i) {
        fleet.cut.insert({i, relay});
    }
    fleet.run(3'000);
    for (int i = 0; i < 20; ++i) {
        fleet.run(50);
        // The cut-off relay hears nobody; the others hear each other.
        fleet.down.insert(relay);
        CHECK(fleet.oldest_news() <= peer_silence_ms);
        fleet.down.erase(relay);
    }
}

TEST_CASE(
    "property: whatever is down, cut or lost, live gateways that reach each other are heard") {
    rc::prop("all live gateways hear of each other again", [] {
        const auto gateways = *rc::gen::inRange<std::size_t>(17, 50);
        const auto centres = *rc::gen::inRange<std::size_t>(1, 6);
        model_fleet fleet(gateways, centres);
        fleet.lose_every = *rc::gen::element<std::size_t>(0, 7, 23);
        const auto killed = *rc::gen::inRange<std::size_t>(0, gateways);
        for (std::size_t i = 0; i < killed; ++i) {
            fleet.down.insert(*rc::gen::inRange<std::size_t>(0, gateways));
        }
        fleet.run(*rc::gen::inRange<std::int64_t>(1, 40) * 50);
        fleet.down.clear(); // they are back
        fleet.lose_every = 0;
        fleet.run(6'000);
        RC_ASSERT(fleet.oldest_news() <= peer_silence_ms);
    });
}

TEST_CASE("a bundler keeps the newest report of each sender and kind, in bounded bundles") {
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
    std::size_t outwards = 0;
    for (const auto& bundle : bundler.for_other_data_centres()) {
        CHECK(bundle.is_for_data_centre);
        outwards += bundle.reports.size();
    }
    CHECK(outwards == 5);
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
