#include <harness/fake_cluster.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::harness;

namespace {

const node_id a{"10.0.0.1:7000"};
const node_id b{"10.0.0.2:7000"};

/** Counts what it gets; sends one message to b at every timer, every 10 ms. */
class counting_service final : public service {
public:
    std::string_view name() const noexcept override { return "counting"; }

    void start(step& now) override {
        now.emit(set_timer{"counting", 1, now.time() + duration{10}});
        now.emit(call_kv{"counting", 1, kv_txn{{}, {kv_put{"k", now.self().value(), 0}}, {}}});
    }
    void on_timer(token /*id*/, step& now) override {
        now.send(b, "counting", "hello");
        now.emit(set_timer{"counting", 1, now.time() + duration{10}});
    }
    void on_message(const message& /*received*/, step& /*now*/) override { ++messages; }
    void on_kv_reply(token /*id*/, const kv_reply& reply, step& /*now*/) override {
        replies.push_back(reply);
    }

    int messages = 0;
    std::vector<kv_reply> replies;
};

void add_counting(micro_kernel& kernel) {
    kernel.add(std::make_unique<counting_service>());
}

counting_service& counting(fake_cluster& cluster, const node_id& node) {
    return cluster.kernel(node).find<counting_service>("counting");
}

} // namespace

TEST_CASE("messages arrive, and stop at a cut") {
    fake_cluster cluster(5);
    cluster.add(a, add_counting);
    cluster.add(b, add_counting);
    cluster.run_for(duration{100});
    const int before = counting(cluster, b).messages;
    CHECK(before > 10);
    cluster.cut(a, b);
    cluster.run_for(duration{100});
    CHECK(counting(cluster, b).messages - before <= 12);
}

TEST_CASE("a paused node handles its events when it resumes") {
    fake_cluster cluster(5);
    cluster.add(a, add_counting);
    cluster.add(b, add_counting);
    cluster.pause(b);
    cluster.run_for(duration{100});
    CHECK(counting(cluster, b).messages == 0);
    cluster.resume(b);
    CHECK(counting(cluster, b).messages > 0);
}

TEST_CASE("a restarted node is a new incarnation without state") {
    fake_cluster cluster(5);
    cluster.add(b, add_counting);
    cluster.run_for(duration{100});
    cluster.kill(b);
    CHECK_FALSE(cluster.alive(b));
    cluster.restart(b);
    CHECK(cluster.kernel(b).life() == incarnation{2});
    CHECK(counting(cluster, b).messages == 0);
}

TEST_CASE("store faults: refused, silent, and an answer lost after the write") {
    fake_cluster cluster(5);
    cluster.store().mode = store_mode::refusing;
    cluster.add(a, add_counting);
    cluster.run_for(duration{100});
    REQUIRE(counting(cluster, a).replies.size() == 1);
    CHECK(counting(cluster, a).replies[0] == kv_reply{kv_failure{kv_failure_kind::not_applied}});

    cluster.store().mode = store_mode::up;
    cluster.store().answer_loss = 1;
    cluster.add(b, add_counting);
    cluster.run_for(duration{3'000});
    REQUIRE(counting(cluster, b).replies.size() == 1);
    CHECK(counting(cluster, b).replies[0] == kv_reply{kv_failure{kv_failure_kind::ambiguous}});
    const auto read = cluster.store_state().apply(kv_range{"k", ""}, cluster.now());
    CHECK(std::get<kv_range_result>(read).entries.at(0).value == b.value());
}
