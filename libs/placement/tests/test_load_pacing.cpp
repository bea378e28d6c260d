#include <placement/load_director.h>
#include <placement/load_ledger.h>
#include <placement/load_pacer.h>

#include <kernel/micro_kernel.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <memory>

using namespace camphorgrade;
using namespace camphorgrade::placement;

namespace {

const store_limit limit{.loads_per_s = 4, .parallel = 8};

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

load_want want(const std::string& name, std::int64_t urgency_ms, bool prefetch = false) {
    return {{name, "1"}, "account", duration{urgency_ms}, prefetch};
}

/** Takes every permit and notes when. */
class counting_sink final : public load_permit_sink {
public:
    explicit counting_sink(std::vector<time_point>& permits) : permits_(&permits) {}

    bool on_permit(const adapter_ref& adapter, time_point /*expires*/, step& now) override {
        permits_->push_back(now.time());
        loading.push_back(adapter);
        return true;
    }

    std::vector<adapter_ref> loading;

private:
    std::vector<time_point>* permits_;
};

/** Agents that all want loads all the time, on a network that may lose messages. */
class fleet {
public:
    fleet(std::size_t agents, std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < agents; ++i) {
            names_.push_back(node_id{"10.0.0." + std::to_string(i) + ":7000"});
        }
        for (const node_id& each : names_) {
            add(each);
        }
    }

    void run(time_point until) {
        for (; now_ < until; now_ += duration{10}) {
            for (auto& [name, each] : members_) {
                work(name, each);
            }
            deliver();
        }
    }

    const node_id director() const { return *choose_director(names_); }
    void cut(const node_id& node) { cut_ = node; }
    void lose(std::uint64_t parts) { lost_ = parts; }

    /** The most permits in any window of a second, and all of them. */
    std::size_t most_in_a_second() const {
        std::size_t most = 0;
        for (std::size_t i = 0; i < permits.size(); ++i) {
            std::size_t j = i;
            while (j < permits.size() && permits[j] < permits[i] + duration{1000}) {
                ++j;
            }
            most = std::max(most, j - i);
        }
        return most;
    }

    std::vector<time_point> permits;

private:
    struct member {
        std::unique_ptr<micro_kernel> kernel;
        std::unique_ptr<counting_sink> sink;
        std::multimap<time_point, timer_fired> timers;
        std::uint64_t wanted = 0;
    };

    struct driver final : service {
        std::string_view name() const noexcept override { return "driver"; }
        void attach(micro_kernel& kernel) override {
            pacer = &kernel.find<load_pacer>("load_pacer");
        }
        void on_timer(token id, step& now) override {
            for (const adapter_ref& each : sink->loading) {
                pacer->finished(each, now);
            }
            sink->loading.clear();
            pacer->want({want("x" + std::to_string(id), 10), want("y" + std::to_string(id), 5)},
                        now);
        }
        load_pacer* pacer = nullptr;
        counting_sink* sink = nullptr;
    };

    void add(const node_id& name) {
        member& added = members_[name];
        added.kernel = std::make_unique<micro_kernel>(name, incarnation{1}, random_.next());
        added.sink = std::make_unique<counting_sink>(permits);
        added.kernel->add(std::make_unique<load_director>(limit));
        auto pacer = std::make_unique<load_pacer>(limit);
        pacer->set_sink(*added.sink);
        pacer->set_live(names_);
        added.kernel->add(std::move(pacer));
        auto drive = std::make_unique<driver>();
        drive->sink = added.sink.get();
        added.kernel->add(std::move(drive));
        take(added, added.kernel->start(now_));
    }

    void work(const node_id& /*name*/, member& each) {
        if (now_.time_since_epoch().count() % 300 == 0) {
            take(each, each.kernel->handle(timer_fired{"driver", ++each.wanted}, now_));
        }
        while (!each.timers.empty() && each.timers.begin()->first <= now_) {
            const timer_fired due = each.timers.begin()->second;
            each.timers.erase(each.timers.begin());
            take(each, each.kernel->handle(due, now_));
        }
    }

    void take(member& from, const std::vector<effect>& effects) {
        for (const effect& each : effects) {
            if (const auto* timer = std::get_if<set_timer>(&each)) {
                from.timers.emplace(timer->at, timer_fired{timer->service, timer->id});
            }
            if (const auto* sent = std::get_if<send_message>(&each)) {
                mail_.push_back(sent->content);
            }
        }
    }

    void deliver() {
        const std::vector<message> due = std::exchange(mail_, {});
        for (const message& each : due) {
            if (each.from == cut_ || each.to == cut_ || random_.below(100) < lost_) {
                continue;
            }
            member& to = members_.at(each.to);
            take(to, to.kernel->handle(message_received{each}, now_));
        }
    }

    random_source random_;
    std::vector<node_id> names_;
    std::map<node_id, member> members_;
    std::vector<message> mail_;
    std::optional<node_id> cut_;
    std::uint64_t lost_ = 0;
    time_point now_;
};

} // namespace

TEST_CASE("the ledger gives the most urgent first, at the store's rate") {
    load_ledger ledger(limit, at(0));
    ledger.ask(node_id{"a"}, {want("slow", 10)}, at(0));
    ledger.ask(node_id{"b"}, {want("urgent", 500), want("next", 100)}, at(0));
    CHECK(ledger.grants(at(249)).empty());
    auto given = ledger.grants(at(250));
    REQUIRE(given.size() == 1);
    CHECK(given[0].adapter.name == "urgent");
    CHECK(ledger.grants(at(499)).empty());
    CHECK(ledger.grants(at(500))[0].adapter.name == "next");
}

TEST_CASE("the ledger keeps to the store's parallel loads until they end or lapse") {
    load_ledger ledger(store_limit{.loads_per_s = 100, .parallel = 2}, at(0));
    std::vector<granted_load> given;
    for (std::int64_t ms = 0; ms < 2900; ms += 10) {
        ledger.ask(node_id{"a"}, {want("x", 10)}, at(ms));
        for (const granted_load& each : ledger.grants(at(ms))) {
            given.push_back(each);
        }
    }
    REQUIRE(given.size() == 2);
    ledger.finished(node_id{"b"}, given[0].grant, at(2900));
    CHECK(ledger.grants(at(2900)).empty());
    ledger.finished(node_id{"a"}, given[0].grant, at(2910));
    CHECK(ledger.grants(at(2910)).size() == 1);
    ledger.ask(node_id{"a"}, {want("x", 10)}, at(3100));
    CHECK(ledger.grants(at(3100)).size() == 1);
}

TEST_CASE("prefetches get only what is left over") {
    load_ledger ledger(limit, at(0));
    ledger.ask(node_id{"a"}, {want("maybe", 0, true)}, at(0));
    ledger.ask(node_id{"b"}, {want("now", 0)}, at(0));
    CHECK(ledger.grants(at(300))[0].adapter.name == "now");
    ledger.ask(node_id{"a"}, {want("maybe", 0, true)}, at(900));
    CHECK(ledger.grants(at(900)).empty());
    CHECK(ledger.grants(at(1400)).size() == 1);
}

TEST_CASE("the director is the same for all that see the same agents") {
    const std::vector<node_id> live{node_id{"a"}, node_id{"b"}, node_id{"c"}};
    CHECK(choose_director(live) == choose_director({live[2], live[0], live[1]}));
    CHECK(choose_director({}) == std::nullopt);
}

TEST_CASE("without partitions the fleet keeps the store's limit") {
    rc::prop("at most four loads in any second, and most of them used", [](std::uint64_t seed) {
        random_source choice(seed);
        fleet agents(2 + choice.below(8), seed);
        agents.lose(choice.below(20));
        agents.run(at(20000));
        RC_ASSERT(agents.most_in_a_second() <= 4U);
        RC_ASSERT(agents.permits.size() >= 20U);
    });
}

TEST_CASE("with the director cut off each agent paces itself by its part") {
    fleet agents(8, 5);
    agents.run(at(5000));
    const std::size_t before = agents.permits.size();
    CHECK(before >= 12);
    agents.cut(agents.director());
    agents.run(at(25000));
    const std::size_t alone = agents.permits.size() - before;
    CHECK(alone >= 40);
    CHECK(alone <= 80);
    CHECK(agents.most_in_a_second() <= 12);
}
