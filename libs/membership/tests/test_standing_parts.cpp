#include <membership/epoch_planner.h>
#include <membership/freshness.h>
#include <membership/witness_state.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::membership;

namespace {

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

node_life life(const std::string& name, std::uint64_t number = 1) {
    return {node_id{name}, incarnation{number}};
}

node_info node(const std::string& name, node_role role, const std::string& data_centre) {
    return {node_id{name}, incarnation{1}, role, data_centre, "", node_state::active};
}

epoch_record three_witnesses() {
    epoch_record record;
    record.number = 7;
    record.members = {{life("g1"), 2}, {life("g2"), 5}};
    record.witnesses = {life("a"), life("b"), life("c")};
    record.witness_version = 1;
    return record;
}

} // namespace

TEST_CASE("standing counts from when the probes of a majority were sent") {
    freshness fresh(duration{5'000});
    fresh.set_witness_count(3);
    fresh.granted(node_id{"a"}, at(1'000));
    CHECK_FALSE(fresh.holds(at(1'000)));
    fresh.granted(node_id{"b"}, at(3'000));
    CHECK(fresh.holds(at(5'999)));
    CHECK_FALSE(fresh.holds(at(6'000)));
    fresh.granted(node_id{"c"}, at(2'000));
    CHECK(fresh.valid_until() == at(7'000));
    fresh.drop();
    CHECK_FALSE(fresh.holds(at(3'000)));
}

TEST_CASE("a witness seals only the silent, for good") {
    witness_state state(life("a"), duration{4'000});
    REQUIRE(state.adopt(three_witnesses(), at(0)));
    CHECK(state.vouches(7, 2));
    CHECK_FALSE(state.vouches(6, 2));
    CHECK_FALSE(state.vouches(7, 3));
    state.hear(5, at(3'000));
    state.seal_if_silent(2, at(4'001));
    state.seal_if_silent(5, at(4'001));
    CHECK(state.sealed() == std::vector<std::uint64_t>{2});
    state.hear(2, at(4'100));
    CHECK_FALSE(state.vouches(7, 2));
    CHECK(state.vouches(7, 5));
    epoch_record next = three_witnesses();
    next.number = 8;
    REQUIRE(state.adopt(next, at(5'000)));
    CHECK_FALSE(state.vouches(8, 2));
    CHECK_FALSE(state.adopt(three_witnesses(), at(6'000)));
}

TEST_CASE("a witness of a new set vouches once a majority of the former set told it all") {
    epoch_record next = three_witnesses();
    next.number = 8;
    next.witness_version = 2;
    next.previous_witnesses = next.witnesses;
    next.witnesses = {life("c"), life("d"), life("e")};
    witness_state fresh_one(life("d"), duration{4'000});
    fresh_one.adopt(next, at(0));
    CHECK_FALSE(fresh_one.ready());
    fresh_one.pulled_from(node_id{"a"});
    CHECK_FALSE(fresh_one.ready());
    fresh_one.pulled_from(node_id{"c"});
    CHECK(fresh_one.ready());

    witness_state stays(life("c"), duration{4'000});
    stays.adopt(three_witnesses(), at(0));
    stays.adopt(next, at(1));
    CHECK_FALSE(stays.ready()); // alone it may lack what a and b accepted
    stays.pulled_from(node_id{"b"});
    CHECK(stays.ready());

    witness_state restarted(life("c", 2), duration{4'000});
    restarted.adopt(next, at(0));
    CHECK_FALSE(restarted.is_witness());
}

TEST_CASE("witnesses are agents, odd in number, spread over the data centres") {
    epoch_view view;
    view.most_witnesses = 5;
    for (const std::string name : {"a1", "a2", "a3", "a4", "a5"}) {
        view.nodes.push_back(node(name, node_role::agent, "dc-1"));
    }
    view.nodes.push_back(node("b1", node_role::agent, "dc-2"));
    view.nodes.push_back(node("g1", node_role::gateway, "dc-3"));
    const std::vector<node_life> chosen = choose_witnesses({life("g1")}, view);
    CHECK(chosen ==
          std::vector<node_life>{life("a1"), life("b1"), life("a2"), life("a3"), life("a4")});
    view.nodes.erase(view.nodes.begin());
    CHECK(choose_witnesses(chosen, view) == chosen); // a lapsed lease is no fault
    view.lost_witnesses = {node_id{"b1"}};
    CHECK(choose_witnesses(chosen, view).back() == life("a5"));
}

TEST_CASE("the next epoch removes the dead, adds who joins, and never an older life") {
    epoch_view view;
    view.self = life("g3");
    view.intent = epoch_intent::join;
    const auto joined = plan_next_epoch(three_witnesses(), view);
    REQUIRE(joined);
    CHECK(joined->members.back() == epoch_member{life("g3"), 8});

    view.self = life("g1", 0);
    CHECK_FALSE(plan_next_epoch(three_witnesses(), view));

    view.self = life("g2");
    view.intent = epoch_intent::stay;
    view.dead = {2};
    CHECK_FALSE(plan_next_epoch(three_witnesses(), view));
    view.leads = true;
    CHECK(plan_next_epoch(three_witnesses(), view)->members ==
          std::vector<epoch_member>{{life("g2"), 5}});
}

TEST_CASE("once most witnesses have been restarted, who joins begins a new set") {
    epoch_view view;
    view.self = life("g1", 2);
    view.intent = epoch_intent::join;
    view.nodes = {node("a", node_role::agent, "dc"), node("b", node_role::agent, "dc"),
                  node("c", node_role::agent, "dc")};
    view.nodes[0].life = incarnation{2};
    CHECK_FALSE(needs_fresh_start(three_witnesses(), view));
    view.nodes[1].life = incarnation{2};
    REQUIRE(needs_fresh_start(three_witnesses(), view));
    const auto next = plan_next_epoch(three_witnesses(), view);
    REQUIRE(next);
    CHECK(next->members == std::vector<epoch_member>{{life("g1", 2), 8}});
    CHECK(next->previous_witnesses.empty());
    CHECK(next->witness_version == 2);
}
