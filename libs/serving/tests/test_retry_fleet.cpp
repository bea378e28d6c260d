// Retries of a service, summed over all gateways, stay within the limit of the fleet.
#include "serving_fixture.h"

#include <kernel/random.h>
#include <serving/retry_limiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr double ratio = 0.2;
constexpr double base_retries = 54;
constexpr duration window{10'000};
constexpr duration play_length{34'000};
constexpr double failing_share = 0.9;
constexpr std::size_t seeds = 3;

struct period {
    time_point from;
    time_point to;

    bool contains(time_point at) const { return from <= at && at < to; }
};

/** What happens to a fleet of gateways whose requests fail. */
struct fleet_script {
    std::size_t gateways = 4;
    double requests_per_s = 142;      /**< Of the service, at all gateways together. */
    std::vector<time_point> restarts; /**< All gateways restart. */
    duration time_without_peers{};    /**< How long a gateway hears no other after a start. */
    std::vector<period> cuts;         /**< No gateway hears another. */
    /** Retries that are allowed in this period wait until its end. */
    period waiting{};
};

std::size_t count_in(const std::vector<time_point>& times, time_point from) {
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::lower_bound(first, times.end(), from + window) - first);
}

/** Plays a script and finds the window that exceeds the limit of the whole fleet most. */
class retry_fleet {
public:
    explicit retry_fleet(fleet_script script) : script_(std::move(script)) {
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            names_.push_back("g" + std::to_string(i));
        }
        start(at_ms(0));
    }

    /** Retries in the worst window beyond what is allowed there; 0 or less if none is exceeded. */
    double worst_excess() {
        const auto step_share = script_.requests_per_s / 1'000;
        for (auto now = at_ms(0); now < at_ms(0) + play_length; now += duration{1}) {
            if (std::find(script_.restarts.begin(), script_.restarts.end(), now) !=
                script_.restarts.end()) {
                start(now);
            }
            if ((now - at_ms(0)) % duration{100} == duration::zero()) {
                tell_of_gateways(now);
            }
            if (!script_.waiting.contains(now)) {
                send_waiting(now);
            }
            if (random_.unit() < step_share) {
                request(random_.below(script_.gateways), now);
            }
        }
        return find_worst();
    }

private:
    void start(time_point now) {
        started_ = now;
        limiters_.clear();
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            retry_limiter_settings settings;
            settings.ratio = ratio;
            settings.base_retries = base_retries;
            settings.window = window;
            settings.is_restart = now > at_ms(0);
            limiters_.push_back(std::make_unique<retry_limiter>(settings));
        }
    }

    bool hears_others(time_point now) const {
        const bool is_cut = std::any_of(script_.cuts.begin(), script_.cuts.end(),
                                        [&](const period& each) { return each.contains(now); });
        return !is_cut && now - started_ >= script_.time_without_peers;
    }

    void tell_of_gateways(time_point now) {
        const auto known = std::min(seeds, script_.gateways);
        const std::vector<std::string> seed_names(
            names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(known));
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            const auto live = hears_others(now) ? names_ : std::vector<std::string>{names_[i]};
            limiters_[i]->set_gateways(live, seed_names, now);
        }
    }

    void request(std::size_t gateway, time_point now) {
        requests_.push_back(now);
        limiters_[gateway]->on_request("s", now);
        if (random_.unit() >= failing_share || !limiters_[gateway]->try_reserve("s", now)) {
            return;
        }
        if (script_.waiting.contains(now)) {
            waiting_.push_back(gateway);
        } else {
            send_retry(gateway, now);
        }
    }

    void send_retry(std::size_t gateway, time_point now) {
        if (limiters_[gateway]->try_send("s", now)) {
            retries_.push_back(now);
        }
    }

    void send_waiting(time_point now) {
        for (const auto each : std::exchange(waiting_, {})) {
            send_retry(each, now);
        }
    }

    double find_worst() const {
        double worst = -base_retries;
        for (auto from = at_ms(0); from < at_ms(0) + play_length; from += duration{50}) {
            const auto requests =
                std::max({count_in(requests_, from), count_in(requests_, from - window / 2),
                          count_in(requests_, from - window)});
            const double allowed = ratio * static_cast<double>(requests) + base_retries;
            worst = std::max(worst, static_cast<double>(count_in(retries_, from)) - allowed);
        }
        return worst;
    }

    fleet_script script_;
    std::vector<std::string> names_;
    std::vector<std::unique_ptr<retry_limiter>> limiters_;
    time_point started_;
    random_source random_{7};
    std::vector<time_point> requests_;
    std::vector<time_point> retries_;
    std::vector<std::size_t> waiting_; /**< Gateways of the retries that wait. */
};

} // namespace

TEST_CASE("gateways that don't hear each other don't each take the whole fleet's retries") {
    for (const std::size_t gateways : {1, 4, 16, 26, 60}) {
        for (const double requests_per_s : {20.0, 142.0, 790.0}) {
            INFO(gateways << " gateways, " << requests_per_s << " requests a second");
            fleet_script script{gateways, requests_per_s, {}, {}, {}, {}};
            CHECK(retry_fleet(script).worst_excess() <= 0);
            script.time_without_peers = play_length;
            CHECK(retry_fleet(script).worst_excess() <= 0);
            script.time_without_peers = duration{1'000};
            script.cuts = {{at_ms(8'000), at_ms(32'000)}};
            CHECK(retry_fleet(script).worst_excess() <= 0);
        }
    }
}

TEST_CASE("gateways that restart again and again don't begin with the fleet's retries each time") {
    for (const std::size_t gateways : {1, 4, 26}) {
        for (const double requests_per_s : {20.0, 142.0, 790.0}) {
            INFO(gateways << " gateways, " << requests_per_s << " requests a second");
            fleet_script script{gateways, requests_per_s, {}, {}, {}, {}};
            for (auto at = at_ms(2'000); at < at_ms(30'000); at += duration{2'000}) {
                script.restarts.push_back(at);
            }
            CHECK(retry_fleet(script).worst_excess() <= 0);
            script.time_without_peers = duration{1'000};
            CHECK(retry_fleet(script).worst_excess() <= 0);
            script.restarts = {at_ms(8'000), at_ms(11'000), at_ms(14'000)};
            CHECK(retry_fleet(script).worst_excess() <= 0);
        }
    }
}

TEST_CASE("retries that wait and are sent together stay within the limit of that time") {
    for (const std::size_t gateways : {1, 4, 26}) {
        for (const auto length : {2'000, 5'000, 9'000}) {
            INFO(gateways << " gateways, retries wait for " << length << " ms");
            const period waiting{at_ms(12'000), at_ms(12'000 + length)};
            CHECK(retry_fleet({gateways, 142, {}, {}, {}, waiting}).worst_excess() <= 0);
        }
    }
}

TEST_CASE("a retry that waits for an adapter counts when it is sent") {
    dispatcher_settings settings;
    settings.retries.ratio = 0;
    settings.retries.base_retries = 1;
    settings.retries.usable_share = 1;
    dispatcher_fixture test(settings);
    test.decisions.on_engine_state(
        "engine-1", engine_with({adapter_status{{"m/a1", 1}, false, 0}}, 2), at_ms(0));
    const auto first = test.arrive(profile_of("/plan/x", "a1"), 0);
    test.ended(first, attempt_outcome::refused, 10); // now waits for the adapter at the other one
    REQUIRE(test.only<wait_for_backend>() != nullptr);
    test.decisions.on_engine_state(
        "engine-2", engine_with({adapter_status{{"m/a1", 1}, false, 0}}, 2), at_ms(900));
    test.effects = test.decisions.take_effects();
    REQUIRE(test.only<send_attempt>() != nullptr);
    CHECK(test.decisions.retry_usage_of("llm", at_ms(10'500)).retries == 1);
    CHECK(test.decisions.retry_usage_of("llm", at_ms(10'900)).retries == 0);
}

TEST_CASE("requests to a service without failures don't take more memory for ever") {
    retry_limiter limiter({});
    for (std::int64_t i = 0; i < 100'000; ++i) {
        limiter.on_request("s", at_ms(i * 10));
    }
    CHECK(limiter.remembered_requests("s") == 1'000); // those of the last 10 s
}
