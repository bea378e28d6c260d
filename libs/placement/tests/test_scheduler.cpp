#include "fake_engine.h"

#include <placement/scheduler.h>

#include <kernel/random.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <queue>

using namespace camphorgrade;
using namespace camphorgrade::placement;

namespace {

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

queued_request ask(std::uint64_t id, const std::string& adapter, std::int64_t ms) {
    queued_request request;
    request.id = id;
    request.client_account = "account-" + std::to_string(id % 3);
    request.adapter = {adapter, std::to_string(id % 2)};
    request.prompt_tokens = 10;
    request.max_tokens = 50;
    request.arrival = at(ms);
    return request;
}

/** How badly the network between agent and engine behaves, in parts of a hundred. */
struct faults {
    std::uint64_t lost_results = 0;
    std::uint64_t late_orders = 0;
    std::uint64_t restarts = 0;  /**< In a thousand steps. */
    std::uint64_t takeovers = 0; /**< In a thousand steps. */
};

/**
 * An agent's scheduler beside a fake engine, with a network between them that loses and delays.
 * Each step is ten milliseconds. What the scheduler promises is checked all along.
 */
class rig {
public:
    rig(std::uint64_t seed, bool checks_fencing, faults rates)
        : random_(seed), checks_fencing_(checks_fencing), rates_(rates),
          engine_(slots, checks_fencing) {
        engine_.fail_loads_of({"broken", "0"});
        engine_.fail_loads_of({"broken", "1"});
        take_over();
    }

    void run(int steps, bool with_requests) {
        for (int i = 0; i < steps; ++i) {
            now_ += duration{10};
            if (with_requests) {
                arrive();
                fault();
            }
            deliver();
            listen();
            end_runs();
            act();
        }
    }

    /** Ends all faults and arrivals and lets the rest run out. */
    void settle() {
        rates_ = {};
        run(30000, false);
    }

    std::size_t admitted() const { return admitted_; }
    std::size_t ended() const { return ended_; }
    bool evicted_in_use() const { return engine_.evicted_in_use(); }
    std::size_t wrong_starts() const { return wrong_starts_; }
    std::size_t ran() const { return ran_; }

private:
    static constexpr std::size_t slots = 2;
    static constexpr std::size_t seats = 3;

    struct running {
        queued_request request;
        pin hold;
        time_point until;
    };

    struct transit {
        time_point due;
        std::uint64_t sequence = 0;
        slot_order order;
        bool operator>(const transit& other) const {
            return std::pair(due, sequence) > std::pair(other.due, other.sequence);
        }
    };

    struct answer {
        time_point due;
        order_result result;
    };

    bool chance(std::uint64_t parts, std::uint64_t whole = 100) {
        return random_.below(whole) < parts;
    }

    /** A new agent process: the old one's queue and connections are gone, its orders are not. */
    void take_over() {
        engine_.abort_all();
        ended_ += running_.size();
        if (plan_) {
            ended_ += plan_->queue().size();
        }
        running_.clear();
        answers_.clear();
        scheduler_settings settings;
        settings.slots = {.slots = slots, .engine_checks_fencing = checks_fencing_};
        settings.paced = false;
        plan_ = std::make_unique<scheduler>(settings, fencing_number{++fencing_}, now_);
    }

    void arrive() {
        if (!chance(12)) {
            return;
        }
        static const std::vector<std::string> names{"a", "a", "a", "b", "c", "d", "broken"};
        const queued_request request =
            ask(++last_id_, names[random_.below(names.size())], now_.time_since_epoch().count());
        ++admitted_;
        ended_ += plan_->admit(request, now_) ? 1 : 0;
    }

    void fault() {
        if (chance(rates_.restarts, 1000)) {
            engine_.restart();
        }
        if (chance(rates_.takeovers, 1000)) {
            take_over();
        }
    }

    void send(const slot_order& order) {
        const bool late = chance(rates_.late_orders);
        const duration delay{late ? random_.below(4900) : random_.below(30)};
        orders_.push({now_ + delay, ++sequence_, order});
    }

    void deliver() {
        while (!orders_.empty() && orders_.top().due <= now_) {
            const order_result result = engine_.apply(orders_.top().order);
            orders_.pop();
            if (!chance(rates_.lost_results)) {
                answers_.push_back({now_ + duration{random_.below(400)}, result});
            }
        }
        std::erase_if(answers_, [&](const answer& each) {
            if (each.due > now_) {
                return false;
            }
            plan_->on_result(each.result, now_);
            return true;
        });
    }

    void listen() {
        if (plan_->table().wants_listing(now_) && !chance(rates_.lost_results)) {
            plan_->table().on_listing(engine_.listing(fencing_number{fencing_}, now_), now_);
        }
        if (chance(10)) {
            believed_ = engine_.boot();
            plan_->table().on_boot(engine_.boot(), now_);
        }
    }

    void end_runs() {
        std::erase_if(running_, [&](const running& each) {
            if (each.until > now_ && engine_.runs(each.request.id)) {
                return false;
            }
            engine_.end(each.request.id);
            plan_->finished(each.request, 20);
            ++ended_;
            return true;
        });
    }

    void act() {
        schedule decided = plan_->next(now_, seats - running_.size());
        ended_ += decided.refusals.size();
        for (const slot_order& each : decided.orders) {
            send(each);
        }
        for (request_start& each : decided.starts) {
            begin(std::move(each));
        }
    }

    void begin(request_start started) {
        const queued_request& request = started.request;
        if (started.hold.adapter() != request.adapter) {
            ++wrong_starts_;
        }
        if (engine_.run(request.id, request.adapter)) {
            ++ran_;
            running_.push_back(
                {request, std::move(started.hold), now_ + duration{100 + random_.below(1000)}});
            return;
        }
        // Only an engine that has restarted since it was last heard may lack the adapter.
        wrong_starts_ += believed_ == engine_.boot() ? 1 : 0;
        plan_->table().on_missing(request.adapter, now_);
        ended_ += plan_->admit(request, now_) ? 1 : 0;
    }

    random_source random_;
    bool checks_fencing_;
    faults rates_;
    fake_engine engine_;
    boot_id believed_{1};
    std::unique_ptr<scheduler> plan_;
    std::vector<running> running_;
    std::priority_queue<transit, std::vector<transit>, std::greater<>> orders_;
    std::vector<answer> answers_;
    time_point now_;
    std::uint64_t fencing_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_id_ = 0;
    std::size_t admitted_ = 0;
    std::size_t ended_ = 0;
    std::size_t ran_ = 0;
    std::size_t wrong_starts_ = 0;
};

void check_promises(std::uint64_t seed, bool checks_fencing, faults rates) {
    rig world(seed, checks_fencing, rates);
    world.run(3000, true);
    world.settle();
    RC_ASSERT_FALSE(world.evicted_in_use());
    RC_ASSERT(world.wrong_starts() == 0U);
    RC_ASSERT(world.ended() == world.admitted());
    RC_ASSERT(world.ran() > 0U);
}

} // namespace

TEST_CASE("an engine's promises hold whatever the network, the engine and other agents do") {
    rc::prop("no eviction in use, the exact adapter, and an end for every request",
             [](std::uint64_t seed, bool checks_fencing) {
                 random_source rates(seed ^ 0x9e37U);
                 check_promises(seed, checks_fencing,
                                {.lost_results = rates.below(30),
                                 .late_orders = rates.below(30),
                                 .restarts = rates.below(5),
                                 .takeovers = rates.below(3)});
             });
}

TEST_CASE("without faults every request runs but those of a broken adapter") {
    rig world(7, true, {});
    world.run(2000, true);
    world.settle();
    CHECK(world.ended() == world.admitted());
    CHECK(world.ran() > world.admitted() * 3 / 4);
}

TEST_CASE("a rare adapter gets a slot although popular ones always have requests waiting") {
    scheduler_settings settings;
    settings.slots = {.slots = 1, .engine_checks_fencing = true};
    settings.paced = false;
    fake_engine engine(1, true);
    scheduler plan(settings, fencing_number{1}, at(0));
    plan.table().on_listing(engine.listing(fencing_number{1}, at(1)), at(1));
    std::vector<request_start> running;
    std::uint64_t id = 0;
    std::int64_t rare_started = 0;
    for (std::int64_t ms = 10; ms < 20000 && rare_started == 0; ms += 10) {
        while (plan.queue().size() < 10) {
            queued_request popular = ask(++id, "popular", ms);
            popular.adapter.version = "1";
            plan.admit(popular, at(ms));
        }
        if (ms == 1000) {
            plan.admit(ask(1000000, "rare", ms), at(ms));
        }
        if (ms % 500 == 0) {
            running.clear();
        }
        schedule decided = plan.next(at(ms), 2 - running.size());
        for (const slot_order& each : decided.orders) {
            plan.on_result(engine.apply(each), at(ms));
        }
        for (request_start& each : decided.starts) {
            rare_started = each.request.adapter.name == "rare" ? ms : rare_started;
            running.push_back(std::move(each));
        }
    }
    CHECK(rare_started > 0);
    CHECK(rare_started < 6000);
    running.clear();
}

TEST_CASE("a paced scheduler loads only with a permit and asks for the most urgent first") {
    scheduler_settings settings;
    settings.slots = {.slots = 1, .engine_checks_fencing = true};
    fake_engine engine(1, true);
    scheduler plan(settings, fencing_number{1}, at(0));
    plan.table().on_listing(engine.listing(fencing_number{1}, at(1)), at(1));
    plan.admit(ask(2, "one", 10), at(10));
    plan.admit(ask(4, "two", 10), at(10));
    plan.admit(ask(6, "two", 10), at(10));
    schedule decided = plan.next(at(20), 4);
    CHECK(decided.orders.empty());
    REQUIRE(decided.wants.size() == 1);
    CHECK(decided.wants[0].adapter == adapter_ref{"two", "0"});
    CHECK(plan.permit({"two", "0"}, at(500), at(30)));
    CHECK_FALSE(plan.permit({"two", "0"}, at(500), at(30)));
    decided = plan.next(at(30), 4);
    REQUIRE(decided.orders.size() == 1);
    plan.on_result(engine.apply(decided.orders[0]), at(200));
    CHECK(plan.next(at(200), 4).starts.size() == 2);
    CHECK_FALSE(plan.permit({"one", "0"}, at(150), at(200)));
}

TEST_CASE("requests of an adapter that cannot be loaded are told so") {
    scheduler_settings settings;
    settings.slots = {.slots = 1, .engine_checks_fencing = true};
    settings.paced = false;
    fake_engine engine(1, true);
    engine.fail_loads_of({"broken", "0"});
    scheduler plan(settings, fencing_number{1}, at(0));
    plan.table().on_listing(engine.listing(fencing_number{1}, at(1)), at(1));
    plan.admit(ask(2, "broken", 10), at(10));
    std::vector<refused_request> refused;
    for (std::int64_t ms = 10; refused.empty() && ms < 2000; ms += 10) {
        schedule decided = plan.next(at(ms), 4);
        refused = std::move(decided.refusals);
        for (const slot_order& each : decided.orders) {
            plan.on_result(engine.apply(each), at(ms));
        }
    }
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == schedule_refusal::load_failed);
    CHECK(refused[0].retry_after > duration{0});
    CHECK(plan.admit(ask(4, "broken", 800), at(800))->reason == schedule_refusal::load_failed);
}
