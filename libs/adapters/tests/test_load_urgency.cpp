// Load: requests for more adapters than the weight store can deliver. Guards against less urgent
// loads that take the store's bandwidth from the urgent ones.
#include <adapters/adapter_manager.h>
#include <kernel/random.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::adapters;

namespace {

constexpr std::size_t engines = 47;
constexpr std::uint32_t slots = 7;
constexpr double full_speed_loads = 24;
constexpr double load_ms = 288;
constexpr double urgent_per_s = 1.1; // at each engine
constexpr double less_urgent_per_s = 1.9;
constexpr duration step{10};
constexpr duration request_time{300};
constexpr duration patience{5'000};

struct load_counts {
    double requests = 0;
    double loaded = 0;
    std::vector<double> waits_ms;

    double median() {
        REQUIRE_FALSE(waits_ms.empty());
        const auto middle = waits_ms.begin() + static_cast<std::ptrdiff_t>(waits_ms.size() / 2);
        std::nth_element(waits_ms.begin(), middle, waits_ms.end());
        return *middle;
    }
};

struct open_request {
    std::string adapter;
    std::uint32_t urgency;
    time_point arrived;
    time_point ends; /**< Default while it waits. */

    bool is_waiting() const { return ends == time_point{}; }
};

struct model_engine {
    explicit model_engine(adapter_manager_settings settings) : manager(settings) {}

    adapter_manager manager;
    std::vector<open_request> requests;
    std::vector<serving::versioned_weights> held;
    std::map<std::string, double> loading; /**< Milliseconds left at full speed. */
    std::uint64_t sequence = 0;
};

engine_demand demand_of(const model_engine& engine, time_point now) {
    engine_demand out;
    out.backend_id = "e1";
    out.backend_started_at_ms = 1;
    out.shape.adapter_slots = slots;
    out.shape.weights_capacity_mb = 1'000;
    out.shape.models = {{"m", 900, 1, duration{1'000}}};
    for (const auto& each : engine.requests) {
        out.adapters.push_back({{each.adapter, 0},
                                each.is_waiting() ? 1U : 0U,
                                each.is_waiting() ? 0U : 1U,
                                now - each.arrived,
                                each.urgency,
                                each.arrived + duration{1'000} - now});
    }
    return out;
}

engine_snapshot snapshot_of(const model_engine& engine) {
    engine_snapshot out;
    out.started_at_ms = 1;
    out.order_sequence = engine.sequence;
    out.models = {{"m", 1}};
    out.adapters = engine.held;
    for (const auto& each : engine.loading) {
        out.loading.push_back({each.first, 1});
    }
    return out;
}

/** Engines whose loads share the bandwidth of one weight store. */
class store_model {
public:
    store_model(bool defers, std::uint64_t seed) : random_(seed) {
        adapter_manager_settings settings;
        settings.defers_less_urgent_loads = defers;
        for (std::size_t i = 0; i < engines; ++i) {
            fleet_.emplace_back(settings);
        }
    }

    void run(duration time) {
        const auto begin = time_point{duration{1'000}};
        for (auto now = begin; now < begin + time; now += step) {
            std::size_t active = 0;
            for (const auto& each : fleet_) {
                active += each.loading.size();
            }
            const auto loads = std::max(static_cast<double>(active), full_speed_loads);
            for (auto& each : fleet_) {
                add_request(each, 0, urgent_per_s, now);
                add_request(each, 2, less_urgent_per_s, now);
                progress_loads(each, full_speed_loads / loads);
                start_requests(each, now);
                give_order(each, now);
            }
        }
    }

    load_counts urgent;
    load_counts less_urgent;

private:
    load_counts& counts_of(std::uint32_t urgency) { return urgency == 0 ? urgent : less_urgent; }

    void add_request(model_engine& engine, std::uint32_t urgency, double per_s, time_point now) {
        if (random_.unit() < per_s * static_cast<double>(step.count()) / 1'000) {
            ++counts_of(urgency).requests;
            const auto adapter = "m/a" + std::to_string(random_.below(10'000));
            engine.requests.push_back({adapter, urgency, now, {}});
        }
    }

    static void progress_loads(model_engine& engine, double speed) {
        for (auto& each : engine.loading) {
            each.second -= speed * static_cast<double>(step.count());
            if (each.second <= 0) {
                engine.held.push_back({each.first, 1});
            }
        }
        std::erase_if(engine.loading, [](const auto& each) { return each.second <= 0; });
    }

    void start_requests(model_engine& engine, time_point now) {
        std::erase_if(engine.requests, [&](const open_request& each) {
            return each.is_waiting() ? now - each.arrived >= patience : now >= each.ends;
        });
        for (auto& each : engine.requests) {
            const auto is_its_adapter = [&](const auto& held) { return held.name == each.adapter; };
            if (each.is_waiting() &&
                std::any_of(engine.held.begin(), engine.held.end(), is_its_adapter)) {
                each.ends = now + request_time;
                auto& counts = counts_of(each.urgency);
                ++counts.loaded;
                counts.waits_ms.push_back(static_cast<double>((now - each.arrived).count()));
            }
        }
    }

    static void give_order(model_engine& engine, time_point now) {
        auto& manager = engine.manager;
        manager.on_snapshot(snapshot_of(engine), manager.order_result_count(), now);
        manager.on_demand("g", demand_of(engine, now), now);
        const auto order = manager.next_order(now);
        if (!order) {
            return;
        }
        ++engine.sequence;
        if (order->kind == order_kind::load) {
            engine.loading[order->weights.name] = load_ms;
        } else {
            std::erase_if(engine.held,
                          [&](const auto& each) { return each.name == order->weights.name; });
        }
        manager.on_order_result(*order, order_result::accepted, now);
    }

    random_source random_;
    std::deque<model_engine> fleet_;
};

} // namespace

TEST_CASE("while the store is busy, urgent adapters load faster if less urgent ones are deferred") {
    constexpr duration run_time{20'000};
    store_model before(false, 1);
    before.run(run_time);
    store_model after(true, 1);
    after.run(run_time);
    const auto share = [](const load_counts& each) { return each.loaded / each.requests; };
    INFO("urgent: " << before.urgent.median() << " ms before, " << after.urgent.median()
                    << " ms after; loaded " << share(before.urgent) << ", " << share(after.urgent)
                    << "; less urgent loaded " << share(before.less_urgent) << ", "
                    << share(after.less_urgent));
    CHECK(after.urgent.median() <= 0.8 * before.urgent.median());
    // The store's bandwidth is used as before, so the less urgent get what is left.
    const auto loads = [](const store_model& each) {
        return each.urgent.loaded + each.less_urgent.loaded;
    };
    CHECK(loads(after) >= 0.95 * loads(before));
}
