#include <delivery/once_records.h>
#include <kernel/check.h>
#include <kernel/micro_kernel.h>
#include <kvstore/memory_store.h>

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace camphorgrade;
using namespace camphorgrade::delivery;

namespace {

/** Remembers what it hears. */
class recording_listener final : public once_listener {
public:
    void on_once_decided(once_ticket ticket, const once_decision& decision, step&) override {
        REQUIRE(heard.emplace(ticket, decision).second);
    }

    template <typename T>
    bool has(once_ticket ticket) const {
        const auto found = heard.find(ticket);
        return found != heard.end() && std::holds_alternative<T>(found->second);
    }

    std::map<once_ticket, once_decision> heard;
};

/** One agent's records, with every store call held back until the test lets it through. */
class bench {
public:
    bench(const std::string& node, std::uint64_t life, memory_store& store,
          const once_settings& settings = {})
        : store_(store), self_(node), life_(life), random_(life),
          records_(std::make_unique<once_records>(settings)) {
        act([&](step& now) { records_->start(now); });
        deliver_all();
    }

    void act(const std::function<void(step&)>& action) {
        std::vector<effect> effects;
        step now(now_, random_, self_, incarnation{life_}, effects);
        action(now);
        for (const effect& each : effects) {
            if (const auto* call = std::get_if<call_kv>(&each)) {
                calls.push_back(*call);
            } else if (const auto* timer = std::get_if<set_timer>(&each)) {
                timers_.emplace(timer->at, timer->id);
            }
        }
    }

    once_ticket begin(const std::string& key, const std::string& content,
                      duration limit = duration{5'000}) {
        once_ticket ticket;
        act([&](step& now) {
            ticket = records_->begin({"acme", key, fingerprint_of({content}), now_ + limit},
                                     listener, now);
        });
        return ticket;
    }

    /** Answers all open store calls until none is left. */
    void deliver_all() {
        while (!calls.empty()) {
            const call_kv next = take();
            reply(next, store_.apply(next.request, now_));
        }
    }

    call_kv take() {
        call_kv next = calls.front();
        calls.erase(calls.begin());
        return next;
    }

    void reply(const call_kv& call, const kv_reply& answer) {
        act([&](step& now) { records_->on_kv_reply(call.id, answer, now); });
    }

    /** Moves time on, firing timers and answering the store as told. */
    void run_to(std::int64_t ms, bool answer = true) {
        if (answer) {
            deliver_all();
        }
        for (auto next = timers_.begin(); next != timers_.end() && next->first <= at(ms);
             next = timers_.begin()) {
            const token id = next->second;
            now_ = std::max(now_, next->first);
            timers_.erase(next);
            act([&](step& now) { records_->on_timer(id, now); });
            if (answer) {
                deliver_all();
            }
        }
        now_ = at(ms);
        if (answer) {
            deliver_all();
        }
    }

    /** Moves time on as for a paused process: no timer fires. */
    void sleep_to(std::int64_t ms) { now_ = at(ms); }

    once_records& records() { return *records_; }

    recording_listener listener;
    std::vector<call_kv> calls;

private:
    static time_point at(std::int64_t ms) { return time_point{duration{ms}}; }

    memory_store& store_;
    node_id self_;
    std::uint64_t life_;
    random_source random_;
    std::unique_ptr<once_records> records_;
    std::multimap<time_point, token> timers_;
    time_point now_ = at(0);
};

const recorded_outcome booked{{200, {{"X", "y"}}}, "booked", false};

} // namespace

TEST_CASE("the first of a key runs, later ones get its outcome, also elsewhere") {
    memory_store store;
    bench first("a1", 1, store);
    bench second("a2", 1, store);
    const once_ticket one = first.begin("k", "visit");
    CHECK(first.listener.heard.empty());
    first.run_to(10);
    REQUIRE(first.listener.has<once_run>(one));
    const once_ticket beside = first.begin("k", "visit");
    const once_ticket other = first.begin("k", "another");
    first.run_to(20);
    CHECK(std::get<once_refused>(first.listener.heard.at(other)).reason ==
          once_refusal::key_reused);
    CHECK_FALSE(first.listener.heard.contains(beside));
    first.act([&](step& now) { first.records().finish(one, booked, now); });
    first.run_to(500);
    CHECK(std::get<once_replay>(first.listener.heard.at(beside)).outcome == booked);
    const once_ticket elsewhere = second.begin("k", "visit");
    const once_ticket reused = second.begin("k2", "visit");
    second.run_to(600);
    CHECK(std::get<once_replay>(second.listener.heard.at(elsewhere)).outcome == booked);
    CHECK(second.listener.has<once_run>(reused));
    CHECK(first.records().idle());
}

TEST_CASE("a record that another agent started is unknown, and never runs again") {
    memory_store store;
    bench first("a1", 1, store);
    bench second("a2", 1, store);
    bench restarted("a1", 2, store);
    const once_ticket one = first.begin("k", "visit");
    first.run_to(10);
    REQUIRE(first.listener.has<once_run>(one));
    const once_ticket two = second.begin("k", "visit");
    const once_ticket three = restarted.begin("k", "visit");
    second.run_to(4'000);
    restarted.run_to(4'000);
    CHECK(std::get<once_unknown>(second.listener.heard.at(two)).retry_after > duration{0});
    CHECK(std::get<once_unknown>(restarted.listener.heard.at(three)).retry_after == duration{0});
}

TEST_CASE("what provably did not run may run elsewhere") {
    memory_store store;
    bench first("a1", 1, store);
    bench second("a2", 1, store);
    const once_ticket one = first.begin("k", "visit");
    first.run_to(10);
    REQUIRE(first.listener.has<once_run>(one));
    first.act([&](step& now) { first.records().finish_not_run(one, now); });
    first.run_to(200);
    const once_ticket two = second.begin("k", "visit");
    second.run_to(200);
    CHECK(second.listener.has<once_run>(two));
}

TEST_CASE("a write that takes effect after it was given up does not block its key") {
    memory_store store;
    bench agent("a1", 1, store);
    const once_ticket one = agent.begin("k", "visit", duration{300});
    const call_kv delayed = agent.take();
    agent.reply(delayed, kv_failure{kv_failure_kind::ambiguous});
    agent.run_to(400, false);
    CHECK(std::get<once_refused>(agent.listener.heard.at(one)).reason ==
          once_refusal::store_unavailable);
    agent.run_to(450);
    store.apply(delayed.request, time_point{duration{450}});
    const once_ticket two = agent.begin("k", "visit");
    agent.run_to(1'000);
    CHECK(agent.listener.has<once_run>(two));
}

TEST_CASE("an agent that wakes up after the deadline does not run the request") {
    memory_store store;
    bench agent("a1", 1, store);
    const once_ticket one = agent.begin("k", "visit", duration{300});
    const call_kv call = agent.take();
    const kv_reply answer = store.apply(call.request, time_point{});
    // The reply waits in a socket and is seen before the timers.
    agent.sleep_to(300);
    agent.reply(call, answer);
    CHECK(agent.listener.has<once_refused>(one));
}

TEST_CASE("many records share a write, and one taken key does not stop the others") {
    memory_store store;
    bench first("a1", 1, store);
    bench second("a2", 1, store);
    const once_ticket taken = first.begin("k3", "visit");
    first.run_to(10);
    REQUIRE(first.listener.has<once_run>(taken));
    std::vector<once_ticket> tickets;
    tickets.reserve(20);
    for (int i = 0; i < 20; ++i) {
        tickets.push_back(second.begin("k" + std::to_string(i), "visit"));
    }
    second.run_to(300);
    for (int i = 0; i < 20; ++i) {
        CHECK(second.listener.has<once_run>(tickets[static_cast<std::size_t>(i)]) == (i != 3));
    }
    CHECK(second.records().counts().store.writes <= 3);
}

TEST_CASE("a lost lease is replaced") {
    memory_store store;
    bench agent("a1", 1, store);
    store.apply(kv_lease_revoke{1}, time_point{});
    const once_ticket one = agent.begin("k", "visit");
    agent.run_to(4'000);
    CHECK(agent.listener.has<once_run>(one));
}
