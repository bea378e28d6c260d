#include "capacity_measures.h"

#include "limits_workload.h"

#include <harness/fake_cluster.h>
#include <keys/key_book.h>
#include <limits/limits_service.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>
#include <placement/router.h>

#include <ctime>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>

namespace camphorgrade::experiment {

namespace {

using limits::limits_service;
using membership::node_role;

constexpr std::uint64_t seed = 1;
constexpr std::size_t data_centres = 7;
constexpr std::size_t decisions = 2'000;
constexpr std::size_t key_checks = 20'000;
constexpr duration joining{40'000};
constexpr duration measured{20'000};

node_id address(const std::string& network, std::size_t number) {
    return node_id{network + std::to_string(number / 250) + "." + std::to_string(number % 250) +
                   ":7000"};
}

void add_node(harness::fake_cluster& cluster, const node_id& name, node_role role,
              std::size_t place, bool with_limits) {
    const std::string data_centre = "dc-" + std::to_string(place % data_centres);
    cluster.add(name, [=](micro_kernel& kernel) {
        const membership::node_info self{
            kernel.self(), kernel.life(), role, data_centre, "", membership::node_state::active};
        kernel.add(std::make_unique<membership::membership_service>(self));
        kernel.add(std::make_unique<membership::standing_service>(self));
        if (with_limits && role == node_role::gateway) {
            kernel.add(std::make_unique<limits_service>());
        }
    });
}

std::uint64_t busiest(const std::map<node_id, std::uint64_t>& amounts) {
    std::uint64_t most = 0;
    for (const auto& [node, amount] : amounts) {
        most = std::max(most, amount);
    }
    return most;
}

nlohmann::json fit(const std::vector<std::size_t>& sizes, const std::vector<double>& values) {
    const auto count = static_cast<double>(sizes.size());
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        mean_x += static_cast<double>(sizes[i]) / count;
        mean_y += values[i] / count;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const double x = static_cast<double>(sizes[i]) - mean_x;
        covariance += x * (values[i] - mean_y);
        variance += x * x;
    }
    const double slope = covariance / variance;
    const double intercept = mean_y - slope * mean_x;
    double residual = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const double fitted = intercept + slope * static_cast<double>(sizes[i]);
        residual = std::max(residual, std::abs(values[i] - fitted));
    }
    return {{"values", values},
            {"slope", slope},
            {"intercept", intercept},
            {"largest_residual", residual}};
}

} // namespace

double thread_cpu_s() {
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

nlohmann::json fit_sizes(const std::vector<std::size_t>& sizes,
                         const std::function<capacity_values(std::size_t)>& measure) {
    std::map<std::string, std::vector<double>> columns;
    for (const std::size_t size : sizes) {
        for (const auto& [name, value] : measure(size)) {
            columns[name].push_back(value);
        }
    }
    nlohmann::json result{{"sizes", sizes}};
    for (const auto& [name, values] : columns) {
        result["fits"][name] = fit(sizes, values);
    }
    return result;
}

capacity_values measure_idle_fleet(std::size_t gateways, std::size_t agents, bool with_limits) {
    harness::fake_cluster cluster(seed);
    std::vector<node_id> admitting;
    for (std::size_t i = 0; i < agents; ++i) {
        add_node(cluster, address("10.1.", i), node_role::agent, i, with_limits);
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        admitting.push_back(address("10.0.", i));
        add_node(cluster, admitting.back(), node_role::gateway, i, with_limits);
    }
    cluster.run_for(joining / 2);
    for (const node_id& each : admitting) {
        if (with_limits) {
            cluster.act(each, [](micro_kernel& kernel, step& now) {
                kernel.find<limits_service>("limits").set_accounts(experiment_accounts(), 1, now);
            });
        }
    }
    cluster.run_for(joining / 2);
    const std::uint64_t messages = cluster.messages_sent();
    const std::uint64_t bytes = cluster.bytes_sent();
    const std::uint64_t calls = cluster.store_calls();
    std::map<node_id, std::uint64_t> sent_messages;
    std::map<node_id, std::uint64_t> sent_bytes;
    cluster.observe([&](const node_id& from, const effect& one) {
        if (const auto* sent = std::get_if<send_message>(&one)) {
            ++sent_messages[from];
            sent_bytes[from] += sent->content.payload.size();
        }
    });
    const double used = thread_cpu_s();
    cluster.run_for(measured);
    const double ended = thread_cpu_s();
    const double seconds = std::chrono::duration<double>(measured).count();
    std::size_t standing = 0;
    for (const node_id& each : admitting) {
        const auto& own = cluster.kernel(each).find<membership::standing_service>("standing");
        standing += own.has_standing(cluster.now()) ? 1 : 0;
    }
    const auto rate = [seconds](std::uint64_t amount) {
        return static_cast<double>(amount) / seconds;
    };
    return {{"cpu_us_per_s_fleet", (ended - used) * 1e6 / seconds},
            {"messages_per_s_fleet", rate(cluster.messages_sent() - messages)},
            {"bytes_per_s_fleet", rate(cluster.bytes_sent() - bytes)},
            {"store_calls_per_s_fleet", rate(cluster.store_calls() - calls)},
            {"messages_per_s_busiest_sender", rate(busiest(sent_messages))},
            {"bytes_per_s_busiest_sender", rate(busiest(sent_bytes))},
            {"gateways_with_standing", static_cast<double>(standing)}};
}

capacity_values measure_choose(std::size_t agents, std::size_t slots) {
    using namespace placement;
    router routes({});
    const time_point now{duration{1'000}};
    for (std::size_t i = 0; i < agents; ++i) {
        agent_status status;
        status.pool = "base";
        status.free_seats = 8;
        status.tokens_per_s = 400;
        status.obtainable_slots = 4;
        for (std::size_t slot = 0; slot < slots; ++slot) {
            const adapter_ref held{"adapter-" + std::to_string(i * slots + slot), "1"};
            status.slots.push_back({digest(held), true, 0});
        }
        routes.on_report(address("10.1.", i), status, duration{1'000}, now);
    }
    random_source random(seed);
    std::size_t chosen = 0;
    const double used = thread_cpu_s();
    for (std::size_t i = 0; i < decisions; ++i) {
        route_request request;
        request.pool = "base";
        request.adapter = {"adapter-" + std::to_string(i * 7919 % (agents * slots)), "1"};
        const time_point at = now + duration{static_cast<std::int64_t>(i / 2)};
        chosen += std::holds_alternative<node_id>(routes.choose(request, at, random)) ? 1 : 0;
    }
    return {{"cpu_us_per_choose", (thread_cpu_s() - used) * 1e6 / decisions},
            {"chosen_share", static_cast<double>(chosen) / decisions}};
}

capacity_values measure_key_check(std::size_t count) {
    keys::key_book book;
    std::vector<std::string> spelled;
    for (std::size_t i = 0; i < count; ++i) {
        std::array<std::uint8_t, keys::key_id_bytes> id{};
        id[0] = static_cast<std::uint8_t>(i);
        id[1] = static_cast<std::uint8_t>(i >> 8);
        id[2] = static_cast<std::uint8_t>(i >> 16);
        const keys::client_key key{id, {}};
        book.add(keys::make_record(key, "account", {}));
        spelled.push_back(key.spell());
    }
    std::size_t accepted = 0;
    const double used = thread_cpu_s();
    for (std::size_t i = 0; i < key_checks; ++i) {
        const auto found = book.check(spelled[i * 7919 % count]);
        accepted += std::holds_alternative<keys::key_accepted>(found) ? 1 : 0;
    }
    return {{"cpu_us_per_check", (thread_cpu_s() - used) * 1e6 / key_checks},
            {"accepted_share", static_cast<double>(accepted) / key_checks}};
}

} // namespace camphorgrade::experiment
