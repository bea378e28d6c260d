#include "serving_fixture.h"

#include <kernel/random.h>
#include <serving/account_limiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr duration step{10};
constexpr duration report_interval{100};
constexpr duration report_delay{10};
constexpr duration window{8'000};

struct sent_report {
    std::string sender;
    account_usage usage;
    time_point arrives_at;
};

/** Admits callers of one account, three times its rate and a burst at every gateway at once, and
    returns the most requests that were admitted in any window. */
std::size_t most_admitted(std::size_t gateways, double rate_per_s, double burst) {
    service_catalogue catalogue;
    catalogue.version = 1;
    catalogue.accounts = {{"farm", {"key"}, 0, false, 1, rate_per_s, burst}};
    std::vector<std::unique_ptr<account_limiter>> limiters;
    for (std::size_t i = 0; i < gateways; ++i) {
        limiters.push_back(std::make_unique<account_limiter>(account_limiter_settings{}));
        limiters.back()->set_catalogue(catalogue, at_ms(0));
    }
    random_source random(3);
    std::vector<sent_report> reports;
    std::vector<time_point> admitted;
    const double requests_per_step =
        3 * rate_per_s * static_cast<double>(step.count()) / 1'000 / static_cast<double>(gateways);
    for (auto now = at_ms(0); now < at_ms(20'000); now += step) {
        for (auto& each : std::exchange(reports, {})) {
            if (each.arrives_at > now) {
                reports.push_back(std::move(each));
                continue;
            }
            for (std::size_t i = 0; i < gateways; ++i) {
                if (std::to_string(i) != each.sender) {
                    limiters[i]->on_peer_usage(each.sender, 1, now - at_ms(0), each.usage, true,
                                               now);
                }
            }
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            const bool is_burst = now == at_ms(5'000);
            const bool is_request = now > at_ms(5'000) && random.unit() < requests_per_step;
            if ((is_burst || is_request) && !limiters[i]->charge("farm", 1, now)) {
                admitted.push_back(now);
            }
            const bool is_report_due = (now - at_ms(0)) % report_interval == duration::zero() ||
                                       limiters[i]->is_report_due();
            if (is_report_due) {
                reports.push_back(
                    {std::to_string(i), limiters[i]->own_usage(), now + report_delay});
                limiters[i]->on_report_sent();
            }
        }
    }
    std::size_t most = 0;
    for (auto first = admitted.begin(); first != admitted.end(); ++first) {
        const auto last = std::lower_bound(first, admitted.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

TEST_CASE("an account whose burst is smaller than the number of gateways keeps to its rate") {
    constexpr double overage = 1.1; // as the users' bounds allow
    constexpr double window_s = 8;
    for (const std::size_t gateways : {4, 16, 60}) {
        for (const double rate : {1.0, 5.0, 50.0}) {
            const double burst = std::max(rate, 2.0);
            const auto most = most_admitted(gateways, rate, burst);
            INFO(gateways << " gateways, " << rate << " requests a second, burst " << burst);
            CHECK(static_cast<double>(most) <= (rate * window_s + burst) * overage);
        }
    }
}
