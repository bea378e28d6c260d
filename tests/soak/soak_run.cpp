#include "soak_run.h"

#include "fault_schedule.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>

namespace camphorgrade::soak {

namespace {

constexpr duration poll_interval{20};
constexpr duration start_bound{15'000};
constexpr duration recovery_bound{12'000};
constexpr duration measured_after{2'000};
constexpr duration stop_bound{9'000};
constexpr double recovered_share = 0.25;
constexpr double settled_share = 0.95;
// The promises with a time bound are not judged where the soak itself was held up for longer.
constexpr duration tolerable_stall{150};

/** One run from start to check. */
class soak {
public:
    explicit soak(const soak_options& options)
        : options_(options), record_(bounds()),
          world_(loop_, clock_, options.seed, options.sizes, record_) {}

    soak_result run() {
        world_.start();
        poll_often();
        if (!advance_until([this] { return all_ready(); }, start_bound)) {
            record_.violate("is ready soon after its start", "not all entries");
        }
        add_callers();
        inject_faults();
        recover();
        check_metrics();
        stop();
        record_.check_totals();
        return result();
    }

private:
    static ledger_bounds bounds() {
        ledger_bounds out;
        out.max_attempts = max_attempts;
        out.account_rate = account_rate;
        out.account_burst = account_burst;
        return out;
    }

    void poll_often() {
        const auto now = clock_.now();
        if (last_poll_ != time_point{}) {
            longest_stall_ = std::max(longest_stall_, now - last_poll_ - poll_interval);
        }
        last_poll_ = now;
        world_.poll();
        poll_timer_.expires_after(poll_interval);
        poll_timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                poll_often();
            }
        });
    }

    void advance(duration by) { loop_.run_for(by); }

    template <typename Done>
    bool advance_until(Done is_done, duration longest) {
        const auto end = clock_.now() + longest;
        while (!is_done()) {
            if (clock_.now() >= end) {
                return false;
            }
            advance(poll_interval);
        }
        return true;
    }

    bool all_ready() {
        for (std::size_t i = 0; i < world_.entries().size(); ++i) {
            if (read_page(world_.readiness_of(i), "/readiness").status != 200) {
                return false;
            }
        }
        return true;
    }

    void add_callers() {
        for (int i = 0; i < options_.callers; ++i) {
            callers_.push_back(std::make_unique<soak_caller>(
                loop_, clock_, options_.seed * 1'000 + static_cast<std::uint64_t>(i),
                "r" + std::to_string(i), world_.callers(), record_, late_));
            callers_.back()->start();
        }
        advance(duration{1'000});
    }

    void inject_faults() {
        random_source random(options_.seed ^ 0x5eedULL);
        fault_schedule schedule(loop_, clock_, world_, options_.seed, faults_);
        const auto end = clock_.now() + options_.length;
        while (clock_.now() < end) {
            schedule.inject();
            advance(between(random, duration{50}, duration{600}));
        }
        advance(duration{5'000}); // until each fault has ended by itself
    }

    void recover() {
        world_.heal();
        const auto healed = clock_.now();
        const auto settled = [this] {
            const auto now = clock_.now();
            const auto from = now - duration{1'000};
            const auto all = record_.answered(from, now);
            return world_.all_run() && all > 0 &&
                   static_cast<double>(record_.ended(caller_end::whole, from, now)) >=
                       settled_share * static_cast<double>(all);
        };
        advance(duration{1'000});
        advance_until(settled, healed + recovery_bound - clock_.now());
        const auto from = clock_.now();
        advance(measured_after);
        const auto to = clock_.now() - duration{500};
        const auto all = record_.answered(from, to);
        const auto whole = record_.ended(caller_end::whole, from, to);
        recovered_ = all == 0 ? 0 : static_cast<double>(whole) / static_cast<double>(all);
        if (recovered_ < recovered_share) {
            record_.violate("recovers", std::to_string(whole) + " of " + std::to_string(all));
        }
    }

    void check_metrics() {
        for (std::size_t i = 0; i < world_.entries().size(); ++i) {
            const auto page = read_page(world_.metrics_of(i), "/metrics");
            if (page.status != 200 || page.body.find("camphor_request_ms") == std::string::npos) {
                record_.violate("serves metrics", "entry " + std::to_string(i + 1));
            }
        }
    }

    void stop() {
        world_.callers().is_over = true;
        advance(duration{500});
        for (auto* each : world_.processes()) {
            each->terminate(clock_.now());
        }
        advance_until(
            [this] {
                const auto all = world_.processes();
                return std::none_of(all.begin(), all.end(),
                                    [](const auto* each) { return each->is_running(); });
            },
            stop_bound);
        poll_timer_.cancel();
    }

    soak_result result() {
        const bool was_held_up = longest_stall_ > tolerable_stall;
        if (!was_held_up && late_.open >= 8 && late_.open_half_a_second_later * 2 > late_.open) {
            record_.violate("gives a final answer at the route's timeout",
                            std::to_string(late_.open_half_a_second_later) + " of " +
                                std::to_string(late_.open));
        }
        soak_result out;
        out.violations = record_.violations();
        out.faults = faults_;
        out.log_folder = world_.folder();
        out.whole = record_.ended(caller_end::whole, {}, time_point::max());
        out.refused = record_.ended(caller_end::refused, {}, time_point::max());
        out.failed = record_.ended(caller_end::failed, {}, time_point::max()) +
                     record_.ended(caller_end::broken, {}, time_point::max()) +
                     record_.ended(caller_end::closed, {}, time_point::max());
        out.whole_after_recovery = recovered_;
        out.longest_stall = longest_stall_;
        return out;
    }

    soak_options options_;
    monotonic_clock clock_;
    boost::asio::io_context loop_;
    ledger record_;
    soak_world world_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::vector<std::string> faults_;
    timeout_count late_;
    boost::asio::steady_timer poll_timer_{loop_};
    time_point last_poll_{};
    duration longest_stall_{};
    double recovered_ = 0;
};

} // namespace

soak_result run_soak(const soak_options& options) {
    return soak(options).run();
}

} // namespace camphorgrade::soak
