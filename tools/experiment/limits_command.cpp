#include "limits_command.h"

#include "limits_runs.h"

#include <limits/token_bucket.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;
constexpr double per_cent = 100.0;

/** What one account got, against the reference. */
struct account_counts {
    std::size_t reference_admitted = 0;
    std::size_t wrongful = 0;        /**< Refused, though the reference admitted it. */
    std::int64_t reference_used = 0; /**< Tokens that admitted requests really used. */
    std::int64_t used = 0;
};

std::vector<account_counts> count(const std::vector<limits_arrival>& arrivals,
                                  const limits_run& run, const limits_run& reference) {
    std::vector<account_counts> all(experiment_accounts().size());
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        account_counts& of = all[arrivals[i].account];
        const bool expected = reference.outcomes[i].admitted;
        of.reference_admitted += expected ? 1 : 0;
        of.wrongful += expected && !run.outcomes[i].admitted ? 1 : 0;
        const std::int64_t used = arrivals[i].cost - arrivals[i].unused;
        of.reference_used += expected ? used : 0;
        of.used += run.outcomes[i].admitted ? used : 0;
    }
    return all;
}

double share_of(double part, double all) {
    return all == 0 ? 0 : per_cent * part / all;
}

/** How many admissions one bucket of the account's rate and burst could not have served. */
std::size_t count_over_admissions(const std::vector<limits_arrival>& arrivals,
                                  const limits_run& run) {
    const std::vector<limits::account_limit> accounts = experiment_accounts();
    std::size_t over = 0;
    for (std::size_t account = 0; account < accounts.size(); ++account) {
        std::vector<limits_outcome> admitted;
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            if (arrivals[i].account == account && run.outcomes[i].admitted) {
                admitted.push_back(run.outcomes[i]);
            }
        }
        std::stable_sort(admitted.begin(), admitted.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
        const limits::account_limit& limit = accounts[account];
        limits::token_bucket bucket(limit.rate_tokens_per_s * limits::micro_per_ms_of_token_per_s,
                                    limit.burst_tokens * limits::micro_tokens_per_token,
                                    time_point{});
        bucket.add(bucket.capacity(), time_point{});
        for (const limits_outcome& each : admitted) {
            over += bucket.take(each.net, each.at) ? 0 : 1;
        }
    }
    return over;
}

nlohmann::json describe(const limits_scenario& scenario,
                        const std::vector<limits_arrival>& arrivals, const limits_run& run,
                        const limits_run& reference) {
    const std::vector<account_counts> accounts = count(arrivals, run, reference);
    std::size_t wrongful = 0;
    std::size_t expected = 0;
    double worst = 0;
    std::string worst_account;
    nlohmann::json usable;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const std::string name = experiment_accounts()[i].client_account;
        usable[name] = share_of(static_cast<double>(accounts[i].used),
                                static_cast<double>(accounts[i].reference_used));
        if (i == 0 && scenario.one_tenant_over) {
            continue; // beyond its rate by its own doing: its usable share says how it fares
        }
        wrongful += accounts[i].wrongful;
        expected += accounts[i].reference_admitted;
        const double part = share_of(static_cast<double>(accounts[i].wrongful),
                                     static_cast<double>(accounts[i].reference_admitted));
        if (part >= worst) {
            worst = part;
            worst_account = name;
        }
    }
    return {{"inside_rate", expected},
            {"wrongful", wrongful},
            {"wrongful_percent",
             share_of(static_cast<double>(wrongful), static_cast<double>(expected))},
            {"worst_account", worst_account},
            {"worst_wrongful_percent", worst},
            {"usable_percent", usable},
            {"over_admissions", count_over_admissions(arrivals, run)}};
}

nlohmann::json describe_waits(const limits_run& run) {
    std::vector<std::int64_t> waits;
    for (const limits_outcome& each : run.outcomes) {
        if (each.admitted) {
            waits.push_back(each.waited.count());
        }
    }
    std::sort(waits.begin(), waits.end());
    if (waits.empty()) {
        return {};
    }
    return {{"median", waits[waits.size() / 2]},
            {"p99", waits[waits.size() * 99 / 100]},
            {"max", waits.back()}};
}

nlohmann::json run_scenario(const limits_scenario& scenario, std::uint64_t seed) {
    const std::vector<limits_arrival> arrivals = make_arrivals(scenario, seed);
    const limits_run reference = run_reference(scenario, arrivals);
    const limits_run shares = run_shares(scenario, arrivals, seed);
    nlohmann::json ours = describe(scenario, arrivals, shares, reference);
    ours["messages_per_s_per_gateway"] = shares.messages_per_s_per_gateway;
    ours["bytes_per_s_per_gateway"] = shares.bytes_per_s_per_gateway;
    ours["store_calls_per_s"] = shares.store_calls_per_s;
    ours["wait_ms"] = describe_waits(shares);
    if (scenario.faults.gateway_killed) {
        ours["recovered_after_ms"] = shares.recovered_after.count();
    }
    const limits_run in_store = run_store_bucket(scenario, arrivals);
    nlohmann::json store = describe(scenario, arrivals, in_store, reference);
    store["store_calls_per_s"] = in_store.store_calls_per_s;
    return {{"gateways", scenario.gateways},
            {"pattern", name_of(scenario.pattern)},
            {"one_tenant_over", scenario.one_tenant_over},
            {"gateway_killed", scenario.faults.gateway_killed},
            {"store_out", scenario.faults.store_out},
            {"arrivals", arrivals.size()},
            {"shares", ours},
            {"static", describe(scenario, arrivals, run_static(scenario, arrivals), reference)},
            {"store_bucket", store}};
}

std::vector<limits_scenario> all_scenarios() {
    std::vector<limits_scenario> all;
    for (const std::size_t gateways : {1U, 4U, 16U, 64U}) {
        for (const auto pattern :
             {arrival_pattern::even, arrival_pattern::skewed, arrival_pattern::shifting}) {
            all.push_back({gateways, pattern, false, {}});
        }
        all.push_back({gateways, arrival_pattern::skewed, true, {}});
    }
    for (const std::size_t gateways : {4U, 16U}) {
        all.push_back({gateways, arrival_pattern::even, false, {true, false}});
        all.push_back({gateways, arrival_pattern::even, false, {false, true}});
        all.push_back({gateways, arrival_pattern::skewed, false, {true, true}});
    }
    return all;
}

void print_line(const nlohmann::json& run) {
    const nlohmann::json& ours = run["shares"];
    std::printf("%3d %-8s over=%d kill=%d out=%d  wrongful %6.3f%% (static %6.3f%%, store %6.3f%%) "
                "worst %6.3f%%  over-admitted %d  msgs/s %.1f  bytes/s %.0f  store/s %.2f",
                run["gateways"].get<int>(), run["pattern"].get<std::string>().c_str(),
                run["one_tenant_over"].get<bool>(), run["gateway_killed"].get<bool>(),
                run["store_out"].get<bool>(), ours["wrongful_percent"].get<double>(),
                run["static"]["wrongful_percent"].get<double>(),
                run["store_bucket"]["wrongful_percent"].get<double>(),
                ours["worst_wrongful_percent"].get<double>(), ours["over_admissions"].get<int>(),
                ours["messages_per_s_per_gateway"].get<double>(),
                ours["bytes_per_s_per_gateway"].get<double>(),
                ours["store_calls_per_s"].get<double>());
    std::printf("  usable large-1 %.1f%%  wait p99 %d ms  recovered %d ms\n",
                ours["usable_percent"]["large-1"].get<double>(), ours["wait_ms"]["p99"].get<int>(),
                ours.value("recovered_after_ms", 0));
    std::fflush(stdout);
}

int run(const std::vector<std::string>& arguments) {
    options::options_description described("limits");
    described.add_options()("seed", options::value<std::uint64_t>()->default_value(1), "seed");
    described.add_options()("gateways", options::value<std::size_t>(), "only runs of that size");
    described.add_options()("json", "print JSON");
    described.add_options()("help", "print this");
    options::variables_map given;
    try {
        options::store(options::command_line_parser(arguments).options(described).run(), given);
    } catch (const options::error& wrong) {
        std::cerr << "camphor-experiment limits: " << wrong.what() << '\n' << described;
        return exit_usage;
    }
    if (given.contains("help")) {
        std::cout << described;
        return 0;
    }
    nlohmann::json all = nlohmann::json::array();
    for (const limits_scenario& each : all_scenarios()) {
        if (given.contains("gateways") && given["gateways"].as<std::size_t>() != each.gateways) {
            continue;
        }
        all.push_back(run_scenario(each, given["seed"].as<std::uint64_t>()));
        if (!given.contains("json")) {
            print_line(all.back());
        }
    }
    if (given.contains("json")) {
        std::cout << all.dump(2) << '\n';
    }
    return 0;
}

} // namespace

const command limits_command{"limits", "client accounts' rates over many gateways", run};

} // namespace camphorgrade::experiment
