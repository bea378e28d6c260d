#include "serving_fixture.h"

#include <kernel/random.h>
#include <serving/permit_exchange.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const server_process server{"engine-1", 1'000};

/** A fleet of gateways that share one limited server, under virtual time. */
struct fleet_settings {
    std::size_t gateways = 4;
    double limit_per_s = 1;
    double requests_per_s = 20; /**< Of all callers together. */
    bool is_skewed = false;     /**< All callers use the first gateway. */
    double message_loss = 0;
    std::uint64_t seed = 1;
};

class fleet {
public:
    explicit fleet(const fleet_settings& settings) : settings_(settings), random_(settings.seed) {
        for (std::size_t i = 0; i < settings.gateways; ++i) {
            add_gateway("g" + std::to_string(i));
        }
        update_views();
    }

    /** Lets the time pass and returns when it ended. */
    time_point run(duration time) {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += step;
            deliver_messages();
            add_requests();
            for (auto& each : gateways_) {
                advance(*each);
            }
        }
        return now_;
    }

    void set_limit(double limit_per_s) {
        settings_.limit_per_s = limit_per_s;
        for (auto& each : gateways_) {
            each->name_limit(limit_per_s, now_);
        }
    }

    /** The gateway neither acts nor receives anything; its peers notice after `detection`. */
    void freeze(std::size_t number) { gateways_[number]->is_frozen = true; }
    void thaw(std::size_t number) { gateways_[number]->is_frozen = false; }
    /** Messages between the gateway and its peers are lost. */
    void cut_off(std::size_t number, bool is_cut) { gateways_[number]->is_cut = is_cut; }

    void restart(std::size_t number) {
        const auto name = gateways_[number]->name;
        gateways_[number] = std::make_unique<gateway>(name);
        gateways_[number]->permits->set_gateways(name, {name}, now_);
        gateways_[number]->name_limit(settings_.limit_per_s, now_);
    }

    /** Passes what the gateways hear of each other's state on to them. */
    void update_views() {
        for (auto& each : gateways_) {
            std::vector<std::string> live;
            for (const auto& other : gateways_) {
                const bool is_heard = !other->is_frozen && !other->is_cut && !each->is_cut;
                if (other == each || is_heard) {
                    live.push_back(other->name);
                }
            }
            std::sort(live.begin(), live.end());
            if (!each->is_frozen) {
                each->permits->set_gateways(each->name, live, now_);
            }
        }
    }

    std::size_t granter() const {
        const auto name = gateways_.front()->permits->granter_of(server);
        const auto found = std::find_if(gateways_.begin(), gateways_.end(),
                                        [&](const auto& each) { return each->name == name; });
        return static_cast<std::size_t>(found - gateways_.begin());
    }

    std::size_t arrivals(time_point from, time_point to) const {
        return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [&](time_point at) { return at >= from && at < to; }));
    }

    std::size_t max_arrivals(time_point from, duration window) const {
        std::size_t most = 0;
        for (auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
             first != arrivals_.end(); ++first) {
            const auto last = std::lower_bound(first, arrivals_.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    time_point now() const { return now_; }

private:
    static constexpr duration step{10};
    static constexpr std::uint32_t max_waiting = 4;

    struct gateway {
        explicit gateway(std::string own) : name(std::move(own)) {
            permits = std::make_unique<permit_exchange>(limits, permit_exchange_settings{});
        }

        void name_limit(double limit_per_s, time_point now) {
            limits.on_response(server, limit_per_s, now, now);
            permits->on_limit_changed(server, now);
        }

        std::string name;
        server_limits limits;
        std::unique_ptr<permit_exchange> permits;
        std::uint32_t waiting = 0;
        bool is_frozen = false;
        bool is_cut = false;
    };

    struct sent_message {
        std::string from;
        permit_message message;
        time_point arrives_at;
    };

    void add_gateway(const std::string& name) {
        gateways_.push_back(std::make_unique<gateway>(name));
        gateways_.back()->name_limit(settings_.limit_per_s, now_);
        by_name_[name] = gateways_.size() - 1;
    }

    void add_requests() {
        pending_requests_ += settings_.requests_per_s * static_cast<double>(step.count()) / 1'000.0;
        for (; pending_requests_ >= 1; pending_requests_ -= 1) {
            const auto number = settings_.is_skewed ? 0 : random_.below(gateways_.size());
            auto& receiver = *gateways_[number];
            receiver.waiting = std::min(receiver.waiting + 1, max_waiting);
        }
    }

    void advance(gateway& each) {
        if (each.is_frozen) {
            return;
        }
        use_permits(each);
        const auto next = each.permits->next_advance_at(now_);
        if (each.waiting == 0 && (!next || *next > now_)) {
            return;
        }
        permit_demand demand;
        demand[server] = each.waiting;
        std::vector<server_process> replied;
        for (auto& message : each.permits->advance(demand, replied, now_)) {
            if (random_.unit() >= settings_.message_loss) {
                const auto delay =
                    duration{1 + static_cast<duration::rep>(random_.below(2 * step.count()))};
                messages_.push_back({each.name, std::move(message), now_ + delay});
            }
        }
        use_permits(each);
    }

    void use_permits(gateway& each) {
        while (each.waiting > 0 && each.permits->may_send(server, now_)) {
            each.permits->take(server, now_);
            --each.waiting;
            arrivals_.push_back(now_);
        }
    }

    void deliver_messages() {
        std::vector<sent_message> later;
        for (auto& each : std::exchange(messages_, {})) {
            if (each.arrives_at > now_) {
                later.push_back(std::move(each));
                continue;
            }
            auto& receiver = *gateways_[by_name_.at(each.message.to)];
            const auto& sender = *gateways_[by_name_.at(each.from)];
            if (receiver.is_frozen || receiver.is_cut || sender.is_cut) {
                continue;
            }
            if (const auto* requests = std::get_if<permit_requests>(&each.message.body)) {
                receiver.permits->on_requests(each.from, *requests, now_);
            } else if (const auto* grants = std::get_if<permit_grants>(&each.message.body)) {
                receiver.permits->on_grants(each.from, *grants, now_);
            }
        }
        messages_.insert(messages_.end(), later.begin(), later.end());
    }

    fleet_settings settings_;
    random_source random_;
    time_point now_ = at_ms(100'000);
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::map<std::string, std::size_t> by_name_;
    std::vector<sent_message> messages_;
    std::vector<time_point> arrivals_; // in order
    double pending_requests_ = 0;
};

constexpr duration window{4'000};
constexpr duration start_time{8'000}; // the takeover delay and the first permits
constexpr duration detection_time{1'500};

/** The goal is at most the limit and five requests in any 4 s. */
std::size_t allowed(double limit_per_s) {
    return static_cast<std::size_t>(4 * limit_per_s + 5);
}

void check_most(const fleet& tested, double limit_per_s, time_point from) {
    const auto most = tested.max_arrivals(from, window);
    CHECK(most <= allowed(limit_per_s));
}

void check_used(const fleet& tested, double limit_per_s, time_point from) {
    constexpr double min_used_share = 0.9;
    const auto seconds = static_cast<double>((tested.now() - from).count()) / 1'000;
    const auto used = static_cast<double>(tested.arrivals(from, tested.now()));
    // One permit may be on its way at either end.
    CHECK(used + 1 >= min_used_share * limit_per_s * seconds);
}

duration measured_time(double limit_per_s) {
    return limit_per_s < 1 ? duration{60'000} : duration{20'000};
}

} // namespace

TEST_CASE("any number of gateways keeps to a server's limit and uses it") {
    for (const std::size_t gateways : {2, 16, 60, 380}) {
        for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
            for (const bool is_skewed : {false, true}) {
                INFO(gateways << " gateways, " << limit << " a second, skewed " << is_skewed);
                fleet tested({gateways, limit, 3 * limit + 20, is_skewed, 0, 1});
                const auto from = tested.run(start_time);
                tested.run(measured_time(limit));
                check_most(tested, limit, at_ms(0));
                check_used(tested, limit, from);
            }
        }
    }
}

TEST_CASE("lost messages neither exceed a server's limit nor leave it unused") {
    for (const std::size_t gateways : {16, 60}) {
        for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
            INFO(gateways << " gateways, " << limit << " a second");
            fleet tested({gateways, limit, 3 * limit + 20, false, 0.2, 7});
            const auto from = tested.run(start_time);
            tested.run(measured_time(limit));
            check_most(tested, limit, at_ms(0));
            check_used(tested, limit, from);
        }
    }
}

TEST_CASE("a server's limit is kept while its granter is frozen, cut off or restarted") {
    for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
        for (const auto* fault : {"frozen", "cut off", "restarted"}) {
            INFO(limit << " a second, granter " << fault);
            fleet tested({16, limit, 3 * limit + 20, false, 0, 3});
            tested.run(start_time);
            const auto granter = tested.granter();
            const std::string kind = fault;
            if (kind == "frozen") {
                tested.freeze(granter);
            } else if (kind == "cut off") {
                tested.cut_off(granter, true);
            } else {
                tested.restart(granter);
            }
            tested.run(detection_time);
            tested.update_views();
            tested.run(duration{12'000});
            tested.thaw(granter);
            tested.cut_off(granter, false);
            tested.run(duration{300});
            tested.update_views();
            const auto recovered = tested.run(start_time);
            tested.run(measured_time(limit));
            check_most(tested, limit, at_ms(0));
            check_used(tested, limit, recovered);
        }
    }
}

TEST_CASE("a limit that falls or rises is kept at once") {
    fleet tested({16, 50, 200, false, 0, 5});
    tested.run(start_time);
    tested.set_limit(1);
    // Only permits that were on their way at the change come on top.
    const auto lowered = tested.run(duration{100});
    tested.run(duration{20'000});
    check_most(tested, 1, lowered);
    check_used(tested, 1, lowered);
    tested.set_limit(20);
    const auto raised = tested.run(duration{1'000});
    tested.run(duration{10'000});
    check_most(tested, 20, raised);
    check_used(tested, 20, raised);
}

TEST_CASE("a server whose limit is 0 still gets a few requests, which may show another limit") {
    fleet tested({16, 0, 50, false, 0, 5});
    const auto from = tested.run(start_time);
    tested.run(duration{60'000});
    check_most(tested, 0, at_ms(0));
    CHECK(tested.arrivals(from, tested.now()) >= 4);
}

TEST_CASE("permits for requests that may come don't delay requests that wait") {
    permit_granter granter({});
    constexpr int interested = 50;
    for (int i = 0; i < interested; ++i) {
        granter.on_request("g" + std::to_string(i), {server, 1, 1, 0, 0, 1}, at_ms(0), at_ms(0));
    }
    granter.on_request("waiting", {server, 1, 1, 0, 1, 0}, at_ms(0), at_ms(1));
    for (const auto& each : granter.advance(at_ms(1))) {
        CHECK(each.grant.next_wait <= duration{2'200});
        CHECK(each.grant.granted == 0);
    }
    granter.on_request("waiting", {server, 1, 1, 0, 1, 0}, at_ms(0), at_ms(500));
    const auto granted = granter.advance(at_ms(1'060));
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().to == "waiting");
    CHECK(granted.front().grant.granted == 1);
}
