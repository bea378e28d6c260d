#include <keys/key_service.h>

#include <harness/fake_cluster.h>
#include <wire/keys.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace camphorgrade;
using namespace camphorgrade::keys;
using namespace camphorgrade::harness;

namespace {

class fixed_peers final : public config::peer_view {
public:
    std::vector<config::peer> live_peers() const override { return all; }

    std::vector<config::peer> all;
};

client_key key(std::uint8_t n) {
    std::array<std::uint8_t, key_id_bytes> id{};
    std::array<std::uint8_t, key_secret_bytes> secret{};
    id.fill(n);
    secret.fill(static_cast<std::uint8_t>(n + 100));
    return {id, secret};
}

/** Nodes in two data centres, and an operator who writes the store. */
struct fleet {
    explicit fleet(std::size_t size, std::uint64_t seed) : cluster(seed) {
        for (std::size_t i = 0; i < size; ++i) {
            peers.all.push_back(
                {node_id{"10.0.0." + std::to_string(i) + ":7000"}, "dc-" + std::to_string(i % 2)});
        }
        for (const config::peer& member : peers.all) {
            cluster.add(member.node, [this, member](micro_kernel& kernel) {
                key_service_options options;
                options.data_centre = member.data_centre;
                kernel.add(std::make_unique<key_service>(options, peers));
            });
        }
    }

    void write(const std::string& name, const std::string& value) {
        cluster.store_state().apply(kv_txn{{}, {kv_put{name, value, 0}}, {}}, cluster.now());
    }

    void give(std::uint8_t n) {
        const key_record record = make_record(key(n), "account", {});
        write(std::string(key_prefix) + record.id, encode(record));
    }

    key_service& at(const node_id& node) { return cluster.kernel(node).find<key_service>("keys"); }

    void withdraw_at(const node_id& node, std::uint8_t n) {
        cluster.act(node, [&](micro_kernel& kernel, step& now) {
            kernel.find<key_service>("keys").withdraw(key(n).id(), now);
        });
    }

    /** How many nodes accept the key. */
    std::size_t accepting(std::uint8_t n) {
        std::size_t count = 0;
        for (const config::peer& each : peers.all) {
            const auto checked = at(each.node).check(key(n).spell());
            count += std::holds_alternative<key_accepted>(checked) ? 1 : 0;
        }
        return count;
    }

    bool stored(std::uint8_t n) {
        const auto reply = cluster.store_state().apply(
            kv_range{std::string(withdrawn_prefix) + key(n).id(), ""}, cluster.now());
        return !std::get<kv_range_result>(reply).entries.empty();
    }

    fixed_peers peers;
    fake_cluster cluster;
};

} // namespace

TEST_CASE("a given key is valid everywhere within seconds, and so is its withdrawal") {
    fleet all(12, 5);
    all.cluster.run_for(duration{1'000});
    all.give(1);
    all.give(2);
    all.cluster.run_for(duration{3'000});
    CHECK(all.accepting(1) == 12);
    all.write(std::string(withdrawn_prefix) + key(1).id(), "");
    all.cluster.run_for(duration{3'000});
    CHECK(all.accepting(1) == 0);
    CHECK(all.accepting(2) == 12);
    std::size_t watchers = 0;
    for (const config::peer& each : all.peers.all) {
        watchers += all.at(each.node).status().watcher ? 1U : 0U;
    }
    CHECK(watchers == 4);
}

TEST_CASE("a withdrawal while the store is out holds, spreads, and is written later") {
    fleet all(6, 5);
    all.give(1);
    all.cluster.run_for(duration{3'000});
    REQUIRE(all.accepting(1) == 6);
    all.cluster.store().mode = store_mode::refusing;
    const node_id first = all.peers.all.front().node;
    all.withdraw_at(first, 1);
    CHECK(all.at(first).withdrawn(key(1).id()));
    CHECK(all.at(first).status().unwritten == 1);
    all.cluster.run_for(duration{15'000});
    CHECK(all.accepting(1) == 0);
    CHECK_FALSE(all.stored(1));
    SECTION("by the node that took it") {}
    SECTION("or by a watcher, when that node is gone") {
        all.cluster.kill(first);
    }
    all.cluster.store().mode = store_mode::up;
    all.cluster.run_for(duration{10'000});
    CHECK(all.stored(1));
    for (const config::peer& each : all.peers.all) {
        if (all.cluster.alive(each.node)) {
            CHECK(all.at(each.node).status().unwritten == 0);
        }
    }
}

TEST_CASE("withdrawals are numbered for those who pass them on") {
    fleet all(1, 5);
    const node_id only = all.peers.all.front().node;
    all.at(only).merge_withdrawals({key(1).id(), "garbage", key(2).id(), key(1).id()});
    CHECK(all.at(only).withdrawal_count() == 2);
    CHECK(all.at(only).withdrawals_since(0, 10) ==
          std::vector<std::string>{key(1).id(), key(2).id()});
    CHECK(all.at(only).withdrawals_since(1, 1) == std::vector<std::string>{key(2).id()});
    CHECK(all.at(only).withdrawals_since(7, 1).empty());
    CHECK(all.at(only).status().malformed == 1);
}

TEST_CASE("garbage in the store and from peers is counted and changes nothing") {
    fleet all(2, 5);
    all.give(1);
    all.write(std::string(key_prefix) + "x", "garbage");
    all.write(std::string(key_prefix) + key(2).id(), encode(make_record(key(3), "a", {})));
    all.write(std::string(withdrawn_prefix) + "x", "");
    all.cluster.run_for(duration{3'000});
    CHECK(all.accepting(1) == 2);
    CHECK(all.accepting(3) == 0);
    const node_id victim = all.peers.all.front().node;
    CHECK(all.at(victim).status().malformed >= 3);
    rc::prop("any payload", [&](const std::string& payload) {
        wire::key_gossip wrapped;
        wrapped.mutable_news()->add_withdrawn(payload);
        wrapped.mutable_news()->add_records()->set_id(payload);
        for (const std::string& each : {payload, wrapped.SerializeAsString()}) {
            all.cluster.post(victim,
                             message_received{{victim, incarnation{1}, victim, "keys", each}});
        }
    });
    CHECK(all.accepting(1) == 2);
}

TEST_CASE("a node that holds a withdrawal never accepts the key again, and all nodes agree") {
    rc::prop("under loss, repetition, restarts and outages", [](std::uint64_t seed) {
        fleet all(4, seed);
        all.cluster.network().longest_delay = duration{300};
        all.cluster.network().duplication = 0.2;
        std::set<std::uint8_t> given;
        std::set<std::uint8_t> withdrawn;
        const auto steps = *rc::gen::inRange(1, 20);
        for (int i = 0; i < steps; ++i) {
            const auto& who = all.peers.all[*rc::gen::inRange<std::size_t>(0, 4)].node;
            const auto n = *rc::gen::inRange<std::uint8_t>(0, 4);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                all.give(n);
                given.insert(n);
                break;
            case 1:
                all.withdraw_at(who, n);
                withdrawn.insert(n);
                break;
            case 2:
                all.cluster.network().loss = *rc::gen::element(0.0, 0.4);
                break;
            case 3:
                all.cluster.store().mode =
                    *rc::gen::element(store_mode::up, store_mode::refusing, store_mode::silent);
                break;
            case 4:
                all.cluster.cut(who, all.peers.all[*rc::gen::inRange<std::size_t>(0, 4)].node);
                break;
            default:
                all.cluster.heal();
            }
            std::vector<std::set<std::string>> held;
            for (const config::peer& each : all.peers.all) {
                const auto ids = all.at(each.node).withdrawals_since(0, 100);
                held.emplace_back(ids.begin(), ids.end());
            }
            all.cluster.run_for(duration{*rc::gen::inRange(0, 2'000)});
            for (std::size_t node = 0; node < held.size(); ++node) {
                for (const std::string& id : held[node]) {
                    RC_ASSERT(all.at(all.peers.all[node].node).withdrawn(id));
                }
            }
        }
        all.cluster.heal();
        all.cluster.network() = {};
        all.cluster.store().mode = store_mode::up;
        all.cluster.run_for(duration{20'000});
        for (std::uint8_t n = 0; n < 4; ++n) {
            const bool valid = given.contains(n) && !withdrawn.contains(n);
            RC_ASSERT(all.accepting(n) == (valid ? 4U : 0U));
            RC_ASSERT(all.stored(n) == withdrawn.contains(n));
        }
    });
}
