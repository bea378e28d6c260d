#include <config/configuration.h>
#include <config/watcher_choice.h>

#include <harness/fake_cluster.h>
#include <wire/config.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>

using namespace camphorgrade;
using namespace camphorgrade::config;
using namespace camphorgrade::harness;

namespace {

/** A fleet whose members all know each other. */
class fixed_peers final : public peer_view {
public:
    std::vector<peer> live_peers() const override { return all; }

    std::vector<peer> all;
};

/** Notes each text that comes into force. */
class revision_log final : public service, public configuration_listener {
public:
    std::string_view name() const noexcept override { return "revision_log"; }
    void attach(micro_kernel& kernel) override {
        kernel.find<configuration_service>("configuration").add_listener(*this);
    }
    void configuration_changed(const operators_text& text, std::uint64_t revision,
                               step& /*now*/) override {
        in_order = in_order && revision > last;
        last = revision;
        account = text.client_accounts().front().rate_tokens_per_s;
    }

    bool in_order = true;
    std::uint64_t last = 0;
    std::uint64_t account = 0;
};

/** A text that tells its revision by an account's rate. */
operators_text text_of(std::uint64_t revision, std::size_t adapters = 600) {
    operators_statement statement;
    statement.deployment = "test";
    statement.models = {{"base"}};
    statement.client_accounts = {{"account", revision, 1}};
    std::vector<adapter_spec> all;
    for (std::size_t i = 0; i < adapters; ++i) {
        const std::string version = "v" + std::to_string(revision);
        all.push_back({"adapter-" + std::to_string(i),
                       "base",
                       {"v0", version},
                       i % 100 == 0 ? version : "v0"});
    }
    return std::get<operators_text>(operators_text::create(std::move(statement), std::move(all)));
}

/** Nodes in data centres with the configuration service, and an operator who writes the store. */
struct fleet {
    explicit fleet(std::size_t data_centres, std::size_t each, std::uint64_t seed) : cluster(seed) {
        for (std::size_t i = 0; i < data_centres * each; ++i) {
            const node_id node{"10.0.0." + std::to_string(i) + ":7000"};
            const std::string data_centre = "dc-" + std::to_string(i % data_centres);
            peers.all.push_back({node, data_centre});
        }
        for (const peer& member : peers.all) {
            cluster.add(member.node, [this, member](micro_kernel& kernel) {
                configuration_options options;
                options.data_centre = member.data_centre;
                kernel.add(std::make_unique<configuration_service>(options, peers));
                kernel.add(std::make_unique<revision_log>());
            });
        }
    }

    void write(const std::string& key, const std::string& value) {
        cluster.store_state().apply(kv_txn{{}, {kv_put{key, value, 0}}, {}}, cluster.now());
    }

    void publish(const packed_text& packed) {
        for (const auto& [digest, chunk] : packed.chunks) {
            write(chunk_key(digest), chunk);
        }
        write(std::string(head_key), encode(packed.head));
        cluster.run_for(duration{0});
    }

    void publish(std::uint64_t revision) {
        publish(pack(text_of(revision), revision, apply_id{std::to_string(revision)}));
    }

    configuration_service& at(const node_id& node) {
        return cluster.kernel(node).find<configuration_service>("configuration");
    }

    revision_log& log(const node_id& node) {
        return cluster.kernel(node).find<revision_log>("revision_log");
    }

    std::size_t nodes_at(std::uint64_t revision) {
        std::size_t count = 0;
        for (const peer& each : peers.all) {
            const bool there = cluster.alive(each.node) && at(each.node).revision() == revision;
            count += there && log(each.node).account == revision ? 1 : 0;
        }
        return count;
    }

    fixed_peers peers;
    fake_cluster cluster;
};

} // namespace

TEST_CASE("a new revision is in force everywhere within three seconds, with few store calls") {
    fleet all(3, 10, 5);
    all.publish(1);
    all.cluster.run_for(duration{3'000});
    REQUIRE(all.nodes_at(1) == 30);
    const auto calls_before = all.cluster.store_calls();
    all.publish(2);
    all.cluster.run_for(duration{3'000});
    CHECK(all.nodes_at(2) == 30);
    // Each of six watchers: its chunks and its next watch.
    CHECK(all.cluster.store_calls() - calls_before <= std::size_t{6} * watchers_per_data_centre);
    std::map<std::string, std::size_t> watchers;
    for (const peer& each : all.peers.all) {
        watchers[each.data_centre] += all.at(each.node).status().watcher ? 1U : 0U;
    }
    CHECK(watchers == std::map<std::string, std::size_t>{{"dc-0", 2}, {"dc-1", 2}, {"dc-2", 2}});
}

TEST_CASE("a data centre that is cut off from the store hears from another") {
    fleet all(2, 3, 5);
    for (const peer& each : all.peers.all) {
        if (each.data_centre == "dc-1") {
            all.cluster.cut_from_store(each.node);
        }
    }
    all.publish(1);
    all.cluster.run_for(duration{5'000});
    CHECK(all.nodes_at(1) == 6);
}

TEST_CASE("what this build can't use leaves the text in force, and a later one is adopted") {
    fleet all(1, 3, 5);
    all.publish(1);
    all.cluster.run_for(duration{3'000});
    packed_text newer = pack(text_of(2), 2, apply_id{"b"});
    SECTION("a newer format") {
        newer.head.format = text_format + 1;
        all.publish(newer);
    }
    SECTION("an unknown field") {
        const std::string piece = newer.chunks.at(newer.head.statement_chunks.front()) +
                                  std::string("\x78\x01", 2); // protobuf field 15
        newer.head.statement_chunks = {digest_of(piece)};
        newer.chunks.emplace(digest_of(piece), piece);
        all.publish(newer);
    }
    SECTION("a damaged chunk") {
        for (auto& [digest, chunk] : newer.chunks) {
            chunk += "x";
        }
        all.publish(newer);
    }
    SECTION("garbage") {
        all.write(std::string(head_key), "\xff\xff");
    }
    all.cluster.run_for(duration{5'000});
    CHECK(all.nodes_at(1) == 3);
    std::size_t reporting = 0;
    for (const peer& each : all.peers.all) {
        reporting += all.at(each.node).status().fault ? 1U : 0U;
    }
    CHECK(reporting >= 2); // the watchers at least
    all.publish(3);
    all.cluster.run_for(duration{4'000});
    CHECK(all.nodes_at(3) == 3);
    CHECK_FALSE(all.at(all.peers.all.front().node).status().fault);
}

TEST_CASE("old heads and garbage from peers change nothing") {
    fleet all(1, 2, 5);
    all.publish(1);
    all.cluster.run_for(duration{3'000});
    const std::string old_head = encode(pack(text_of(1), 1, apply_id{"1"}).head);
    all.publish(2);
    all.cluster.run_for(duration{3'000});
    const node_id victim = all.peers.all.front().node;
    const node_id other = all.peers.all.back().node;
    const auto tell = [&](const std::string& payload) {
        all.cluster.post(
            victim, message_received{{other, incarnation{1}, victim, "configuration", payload}});
    };
    wire::config_gossip replay;
    replay.mutable_give_head()->set_head(old_head);
    tell(replay.SerializeAsString());
    rc::prop("garbage", [&](const std::string& payload) {
        tell(payload);
        wire::config_gossip wrapped;
        wrapped.mutable_give_head()->set_head(payload);
        tell(wrapped.SerializeAsString());
        wrapped.mutable_give_chunk()->set_chunk(payload);
        tell(wrapped.SerializeAsString());
        wrapped.mutable_ask_chunks()->add_digests(payload);
        tell(wrapped.SerializeAsString());
    });
    all.cluster.run_for(duration{6'000});
    CHECK(all.nodes_at(2) == 2);
    CHECK(all.log(victim).in_order);
}

TEST_CASE("revisions only go up under any faults, and all nodes converge after them") {
    rc::prop("monotone and convergent", [](std::uint64_t seed) {
        fleet all(2, 3, seed);
        all.cluster.network().longest_delay = duration{400};
        all.cluster.network().duplication = 0.2;
        std::uint64_t revision = 0;
        std::set<node_id> down;
        const auto check_order = [&] {
            for (const peer& each : all.peers.all) {
                if (!down.contains(each.node)) {
                    RC_ASSERT(all.log(each.node).in_order);
                }
            }
        };
        const auto steps = *rc::gen::inRange(1, 25);
        for (int i = 0; i < steps; ++i) {
            const auto& who = (*rc::gen::elementOf(all.peers.all)).node;
            const auto& other = (*rc::gen::elementOf(all.peers.all)).node;
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
                all.publish(++revision);
                break;
            case 2:
                all.cluster.network().loss = *rc::gen::element(0.0, 0.3, 0.9);
                break;
            case 3:
                all.cluster.store().mode =
                    *rc::gen::element(store_mode::up, store_mode::refusing, store_mode::silent);
                break;
            case 4:
                who != other ? all.cluster.cut(who, other) : all.cluster.cut_from_store(who);
                break;
            case 5:
                if (down.insert(who).second) {
                    all.cluster.kill(who);
                }
                break;
            case 6:
                if (down.erase(who) > 0) {
                    all.cluster.restart(who);
                }
                break;
            default:
                all.cluster.heal();
            }
            all.cluster.run_for(duration{*rc::gen::inRange(0, 2'000)});
            check_order();
        }
        all.cluster.heal();
        all.cluster.network() = {};
        all.cluster.store().mode = store_mode::up;
        for (const node_id& node : down) {
            all.cluster.restart(node);
        }
        down.clear();
        all.cluster.run_for(duration{5'000}); // calls that wait for an answer run out
        all.publish(++revision);
        all.cluster.run_for(duration{3'000});
        check_order();
        RC_ASSERT(all.nodes_at(revision) == all.peers.all.size());
    });
}
