#include "delivery_measures.h"

#include <delivery/once_records.h>
#include <delivery_sim/world.h>
#include <harness/fake_cluster.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace camphorgrade::experiment {

namespace {

using namespace delivery;

constexpr duration booking_time{20};
constexpr duration settle_time{5'000};
constexpr int status_ok = 200;
constexpr std::size_t answer_bytes = 300;

/** Books through the records of its node and times how long the record takes. */
class booking_probe final : public service, public once_listener {
public:
    std::string_view name() const noexcept override { return "probe"; }

    void attach(micro_kernel& kernel) override { once_ = &kernel.find<once_records>("once"); }

    void book(const std::string& key, step& now) {
        const once_ticket ticket = once_->begin(
            {"acme", key, fingerprint_of({key}), now.time() + settle_time}, *this, now);
        begun_.emplace(ticket, now.time());
    }

    void on_once_decided(once_ticket ticket, const once_decision& decision, step& now) override {
        if (!std::holds_alternative<once_run>(decision)) {
            return;
        }
        waits.push_back((now.time() - begun_.at(ticket)).count());
        now.emit(set_timer{"probe", ticket.value(), now.time() + booking_time});
    }

    void on_timer(token id, step& now) override {
        const recorded_outcome outcome{{status_ok, {}}, std::string(answer_bytes, 'x'), false};
        once_->finish(once_ticket{id}, outcome, now);
    }

    std::vector<std::int64_t> waits;

private:
    once_records* once_ = nullptr;
    std::map<once_ticket, time_point> begun_;
};

std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

node_id agent_name(std::uint64_t index) {
    return node_id{"a" + std::to_string(index + 1)};
}

/** How many of `per_s` arrivals fall into one millisecond. */
unsigned arrivals(unsigned per_s, random_source& random) {
    constexpr double ms_per_s = 1'000;
    constexpr int trials = 10;
    unsigned count = 0;
    for (int i = 0; i < trials; ++i) {
        count += random.unit() < per_s / ms_per_s / trials ? 1U : 0U;
    }
    return count;
}

} // namespace

record_cost measure_records(const record_case& measured) {
    harness::fake_cluster cluster(measured.seed);
    cluster.store().delay = measured.store_delay;
    for (unsigned i = 0; i < measured.agents; ++i) {
        cluster.add(agent_name(i), [](micro_kernel& kernel) {
            kernel.add(std::make_unique<once_records>(once_settings{}));
            kernel.add(std::make_unique<booking_probe>());
        });
    }
    cluster.run_for(settle_time);
    random_source random(measured.seed);
    record_cost cost;
    for (duration at{0}; at < measured.length; ++at) {
        for (unsigned i = arrivals(measured.bookings_per_s, random); i > 0; --i) {
            const std::string key = "key" + std::to_string(++cost.bookings);
            cluster.act(agent_name(random.below(measured.agents)),
                        [&](micro_kernel& kernel, step& now) {
                            kernel.find<booking_probe>("probe").book(key, now);
                        });
        }
        cluster.run_for(duration{1});
    }
    cluster.run_for(settle_time);
    std::vector<std::int64_t> waits;
    std::uint64_t writes = 0;
    for (unsigned i = 0; i < measured.agents; ++i) {
        micro_kernel& kernel = cluster.kernel(agent_name(i));
        const auto& own = kernel.find<booking_probe>("probe").waits;
        waits.insert(waits.end(), own.begin(), own.end());
        writes += kernel.find<once_records>("once").counts().store.writes;
    }
    std::sort(waits.begin(), waits.end());
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    const auto bookings = static_cast<double>(cost.bookings);
    cost.p50_ms = quantile(waits, median);
    cost.p99_ms = quantile(waits, tail);
    cost.writes_per_booking = static_cast<double>(writes) / bookings;
    cost.calls_per_booking = static_cast<double>(cluster.store_calls()) / bookings;
    cost.not_run = cost.bookings - waits.size();
    return cost;
}

namespace {

/** Sends repeatable requests to all gateways of a world at a steady rate. */
class request_load {
public:
    request_load(sim::world& world, unsigned gateways, unsigned per_s, std::uint64_t seed)
        : world_(world), gateways_(gateways), per_s_(per_s), random_(seed) {}

    void run_for(duration span) {
        for (duration at{0}; at < span; ++at) {
            for (unsigned i = arrivals(per_s_, random_); i > 0; --i) {
                sim::request_spec spec;
                spec.name = "r" + std::to_string(++sent_);
                spec.gateway = node_id{"g" + std::to_string(random_.below(gateways_) + 1)};
                spec.body = spec.name;
                world_.submit(spec);
            }
            world_.run_for(duration{1});
        }
    }

    std::uint64_t sent() const noexcept { return sent_; }

private:
    sim::world& world_;
    unsigned gateways_;
    unsigned per_s_;
    random_source random_;
    std::uint64_t sent_ = 0;
};

} // namespace

outage_cost measure_outage(unsigned down, unsigned requests_per_s, std::uint64_t seed) {
    constexpr duration outage{20'000};
    sim::world_settings settings;
    settings.seed = seed;
    settings.gateways = 2;
    settings.agents = 4;
    settings.backend_restart = outage;
    settings.backends_visible = false;
    sim::world world(settings);
    request_load load(world, settings.gateways, requests_per_s, seed);
    load.run_for(settle_time);
    const std::uint64_t before = load.sent();
    for (unsigned i = 0; i < down; ++i) {
        world.kill_backend(agent_name(i));
    }
    load.run_for(outage);
    const std::uint64_t after = load.sent();
    world.run_for(settle_time + settle_time);
    outage_cost cost;
    cost.requests = after - before;
    for (std::uint64_t i = before + 1; i <= after; ++i) {
        const std::string name = "r" + std::to_string(i);
        const auto ended = world.ended().find(name);
        const std::uint32_t attempts = ended == world.ended().end() ? 0 : ended->second.attempts;
        const sim::caller_view& view = world.callers().at(name);
        cost.retries += attempts > 1 ? attempts - 1 : 0;
        cost.answered += view.whole ? 1 : 0;
        cost.slowest_answer_ms =
            std::max<std::int64_t>(cost.slowest_answer_ms, (view.ended - view.sent).count());
    }
    return cost;
}

leaving_cost measure_leaving(duration lag, unsigned requests_per_s, std::uint64_t seed) {
    sim::world_settings settings;
    settings.seed = seed;
    settings.gateways = 4;
    settings.agents = 3;
    settings.knowledge_lag = lag;
    sim::world world(settings);
    request_load load(world, settings.gateways, requests_per_s, seed);
    load.run_for(settle_time);
    const node_id leaving{"a1"};
    const std::int64_t left_at = world.now_ms();
    world.leave(leaving);
    load.run_for(settle_time);
    world.run_for(settle_time + settle_time);
    leaving_cost cost;
    cost.requests = load.sent();
    for (const sim::observation& each : world.observations()) {
        if (each.what.starts_with("backend a1 runs") && each.at_ms >= left_at) {
            cost.last_start_ms = each.at_ms - left_at;
        }
    }
    cost.last_offer_ms = world.last_offer_ms(leaving) - left_at;
    for (const auto& [name, view] : world.callers()) {
        cost.not_whole += view.whole ? 0 : 1;
    }
    return cost;
}

} // namespace camphorgrade::experiment
