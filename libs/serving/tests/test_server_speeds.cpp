// Load: servers of uneven speed behind many gateways, each of which gets few responses of each
// server. Guards against a placement that doesn't know the slow ones.
#include "serving_fixture.h"

#include <kernel/random.h>
#include <serving/server_speeds.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr std::size_t server_count = 38;
constexpr std::size_t gateway_count = 21;
constexpr duration step{10};
constexpr duration report_interval{200};
constexpr double nominal_ms = 240; // of one request at a server of speed 1
constexpr double load = 0.75;      // of the capacity of all servers

enum class knowledge { learned, known };

server_process process_of(std::size_t server) {
    return {"engine-" + std::to_string(server), 1'000};
}

/** Requests placed where the estimated time to the first byte is lowest. */
class uneven_fleet {
public:
    uneven_fleet(knowledge source, std::uint64_t seed) : source_(source), random_(seed) {
        server_speeds_settings settings;
        settings.is_enabled = true;
        for (std::size_t i = 0; i < gateway_count; ++i) {
            gateways_.emplace_back(settings);
        }
        for (std::size_t i = 0; i < server_count; ++i) {
            const auto part = static_cast<double>(i) / (server_count - 1);
            speeds_.push_back(0.55 + (1.2 - 0.55) * part);
        }
        busy_until_.resize(server_count, at_ms(0));
    }

    /** The 99th percentile of the time to the first byte, after a time to learn. */
    double run() {
        constexpr duration learning_time{10'000};
        constexpr duration run_time{60'000};
        double capacity = 0;
        for (const auto each : speeds_) {
            capacity += each * static_cast<double>(step.count()) / nominal_ms;
        }
        double due = 0;
        std::vector<double> times;
        for (auto now = at_ms(0); now < at_ms(0) + run_time; now += step) {
            exchange_reports(now);
            deliver_responses(now);
            for (due += load * capacity; due >= 1; due -= 1) {
                const auto took = send(random_.below(gateway_count), now);
                if (now >= at_ms(0) + learning_time) {
                    times.push_back(took);
                }
            }
        }
        std::sort(times.begin(), times.end());
        return times[times.size() * 99 / 100];
    }

private:
    struct response {
        std::size_t gateway;
        std::size_t server;
        time_point sent;
        duration expected;
        time_point arrives;
    };

    double backlog_ms(std::size_t server, time_point now) const {
        return std::max(0.0, static_cast<double>((busy_until_[server] - now).count()));
    }

    /** What a gateway takes for the server's time, as a multiple of the nominal time. */
    double time_ratio(std::size_t gateway, std::size_t server, time_point now) const {
        return source_ == knowledge::known
                   ? 1 / speeds_[server]
                   : gateways_[gateway].time_ratio(process_of(server), speed_kind::prompt, now);
    }

    double send(std::size_t gateway, time_point now) {
        std::size_t best = 0;
        double best_ms = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < server_count; ++i) {
            // Agents report the queued tokens, which take a time that depends on the speed.
            const double queued = backlog_ms(i, now) * speeds_[i] + nominal_ms;
            const double estimate = queued * time_ratio(gateway, i, now);
            if (estimate < best_ms) {
                best = i;
                best_ms = estimate;
            }
        }
        const double queued = backlog_ms(best, now) * speeds_[best] + nominal_ms;
        const double spread = 0.7 + 0.6 * random_.unit();
        const double slow_spell = random_.unit() < 0.03 ? 3 : 1;
        const auto service = nominal_ms / speeds_[best] * spread * slow_spell;
        busy_until_[best] = std::max(busy_until_[best], now) +
                            duration{static_cast<duration::rep>(std::llround(service))};
        const auto took = busy_until_[best] - now;
        responses_.push_back({gateway, best, now,
                              duration{static_cast<duration::rep>(std::llround(queued))},
                              busy_until_[best]});
        return static_cast<double>(took.count());
    }

    void deliver_responses(time_point now) {
        std::erase_if(responses_, [&](const response& each) {
            if (each.arrives > now) {
                return false;
            }
            gateways_[each.gateway].on_response(process_of(each.server), speed_kind::prompt,
                                                each.arrives - each.sent, each.expected, now);
            return true;
        });
    }

    void exchange_reports(time_point now) {
        if ((now - at_ms(0)) % report_interval != duration::zero()) {
            return;
        }
        for (std::size_t i = 0; i < gateway_count; ++i) {
            for (const auto& each : gateways_[i].take_samples()) {
                for (std::size_t other = 0; other < gateway_count; ++other) {
                    if (other != i) {
                        gateways_[other].on_peer_sample(each, now);
                    }
                }
            }
        }
    }

    knowledge source_;
    random_source random_;
    std::vector<server_speeds> gateways_;
    std::vector<double> speeds_;
    std::vector<time_point> busy_until_;
    std::vector<response> responses_;
};

server_speeds_settings enabled() {
    server_speeds_settings out;
    out.is_enabled = true;
    return out;
}

double ratio_of(const server_speeds& speeds, std::int64_t ms) {
    return speeds.time_ratio(process_of(1), speed_kind::prompt, at_ms(ms));
}

} // namespace

TEST_CASE("learned speeds place requests nearly as well as known ones") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto learned = uneven_fleet(knowledge::learned, seed).run();
        const auto known = uneven_fleet(knowledge::known, seed).run();
        INFO("seed " << seed);
        CHECK(learned <= 1.15 * known);
    }
}

TEST_CASE("a few slow responses aren't a slow server, and many are") {
    server_speeds speeds(enabled());
    for (std::int64_t i = 0; i < 40; ++i) {
        speeds.on_response(process_of(1), speed_kind::prompt, duration{100}, duration{100},
                           at_ms(i * 100));
    }
    for (std::int64_t i = 0; i < 3; ++i) { // a spell of 0.6 s
        speeds.on_response(process_of(1), speed_kind::prompt, duration{400}, duration{100},
                           at_ms(4'000 + i * 200));
    }
    CHECK(ratio_of(speeds, 4'600) < 1.25);
    for (std::int64_t i = 0; i < 60; ++i) {
        speeds.on_response(process_of(1), speed_kind::prompt, duration{200}, duration{100},
                           at_ms(5'000 + i * 100));
    }
    CHECK(ratio_of(speeds, 11'000) > 1.6);
}

TEST_CASE("impossible samples of a peer are ignored, and speeds end with their process") {
    server_speeds speeds(enabled());
    const double infinite = std::numeric_limits<double>::infinity();
    CHECK_FALSE(speeds.on_peer_sample({process_of(1), speed_kind::prompt, 0, 1}, at_ms(0)));
    CHECK_FALSE(speeds.on_peer_sample({process_of(1), speed_kind::prompt, 1, 100}, at_ms(0)));
    CHECK_FALSE(speeds.on_peer_sample({process_of(1), speed_kind::prompt, 1, infinite}, at_ms(0)));
    CHECK(ratio_of(speeds, 0) == 1);
    CHECK(speeds.on_peer_sample({process_of(1), speed_kind::prompt, 10, 10}, at_ms(0)));
    CHECK(ratio_of(speeds, 0) > 1.5);
    speeds.erase_ended([](const server_process&) { return false; });
    CHECK(ratio_of(speeds, 0) == 1);
}

TEST_CASE("each sample is reported once, and plain requests don't count as prompts") {
    server_speeds speeds(enabled());
    speeds.on_response(process_of(1), speed_kind::plain, duration{100}, duration{50}, at_ms(0));
    speeds.on_response(process_of(1), speed_kind::plain, duration{100}, duration{50}, at_ms(10));
    const auto reported = speeds.take_samples();
    REQUIRE(reported.size() == 1);
    CHECK(reported.front().count == 2);
    CHECK(reported.front().log2_ratio_sum == 2);
    CHECK(speeds.take_samples().empty());
    CHECK(ratio_of(speeds, 10) == 1);
}
