#include "load_command.h"

#include "load_run.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

namespace {

namespace options = boost::program_options;
using nlohmann::json;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr std::size_t most_streams = 1'000;
constexpr std::size_t most_requests = 100'000;
constexpr const char* loopback_prefix = "http://127.0.0.1:";

options::options_description described() {
    options::options_description all("load");
    all.add_options()("direct", options::value<std::string>(),
                      "http://127.0.0.1:PORT of an engine");
    all.add_options()("through", options::value<std::string>(), "the same of a gateway");
    all.add_options()("key", options::value<std::string>()->default_value(""),
                      "client key for the gateway");
    all.add_options()("model", options::value<std::string>()->default_value("base"),
                      "adapter@version, loaded at the engine");
    all.add_options()("streams", options::value<std::size_t>()->default_value(1),
                      "requests open at once, up to 1000");
    all.add_options()("requests", options::value<std::size_t>()->default_value(100),
                      "requests to each, up to 100000");
    all.add_options()("max-tokens", options::value<std::size_t>()->default_value(16),
                      "tokens of each answer");
    all.add_options()("whole", "ask for whole answers, not streams");
    all.add_options()("time-limit-s", options::value<std::size_t>()->default_value(60),
                      "the run ends after this time");
    all.add_options()("pid", options::value<std::vector<int>>(),
                      "process to watch for processor time and memory; may be repeated");
    all.add_options()("json", "print JSON");
    all.add_options()("help", "print this");
    return all;
}

/** Load goes to loopback only. */
std::optional<http_endpoint> parse_url(const std::string& url) {
    const std::string prefix = loopback_prefix;
    http_endpoint endpoint;
    const char* const end = url.data() + url.size();
    if (!url.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto parsed = std::from_chars(url.data() + prefix.size(), end, endpoint.port);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(endpoint) : std::nullopt;
}

std::optional<load_plan> plan_of(const options::variables_map& given) {
    load_plan plan;
    for (const std::string name : {"direct", "through"}) {
        if (given.count(name) == 0) {
            continue;
        }
        const auto endpoint = parse_url(given[name].as<std::string>());
        if (!endpoint) {
            return std::nullopt;
        }
        load_target target{name, *endpoint, {{"Content-Type", "application/json"}}};
        const auto key = given["key"].as<std::string>();
        if (name == "through" && !key.empty()) {
            target.headers.push_back({"Authorization", "Bearer " + key});
        }
        plan.targets.push_back(std::move(target));
    }
    plan.streams = given["streams"].as<std::size_t>();
    plan.requests = given["requests"].as<std::size_t>();
    plan.time_limit = std::chrono::seconds(given["time-limit-s"].as<std::size_t>());
    plan.body = json{{"model", given["model"].as<std::string>()},
                     {"prompt", "load"},
                     {"max_tokens", given["max-tokens"].as<std::size_t>()},
                     {"stream", given.count("whole") == 0}}
                    .dump();
    if (given.count("pid") != 0) {
        plan.processes = given["pid"].as<std::vector<int>>();
    }
    const bool is_bounded = plan.streams > 0 && plan.streams <= most_streams && plan.requests > 0 &&
                            plan.requests <= most_requests;
    return is_bounded && !plan.targets.empty() ? std::optional(plan) : std::nullopt;
}

json quantiles(std::vector<double> values) {
    if (values.empty()) {
        return nullptr;
    }
    std::ranges::sort(values);
    const auto at = [&](std::size_t percent) {
        return values[std::min(values.size() - 1, values.size() * percent / 100)];
    };
    return {{"p50", at(50)}, {"p95", at(95)}, {"p99", at(99)}};
}

json ratios(const json& through, const json& direct) {
    if (through.is_null() || direct.is_null()) {
        return nullptr;
    }
    json all;
    for (const char* const name : {"p50", "p95", "p99"}) {
        all[name] = through[name].get<double>() / direct[name].get<double>();
    }
    return all;
}

json report(const load_plan& plan, const load_result& result) {
    json all{{"streams", plan.streams}, {"duration_s", result.duration_s}};
    for (const auto& [name, samples] : result.samples) {
        all[name] = {
            {"answered", samples.whole_ms.size()},
            {"answered_per_s", static_cast<double>(samples.whole_ms.size()) / result.duration_s},
            {"failures", samples.failures},
            {"first_chunk_ms", quantiles(samples.first_chunk_ms)},
            {"whole_ms", quantiles(samples.whole_ms)},
            {"body_bytes", samples.body_bytes}};
    }
    if (result.samples.size() == 2) {
        for (const char* const measure : {"first_chunk_ms", "whole_ms"}) {
            all["ratio"][measure] = ratios(all["through"][measure], all["direct"][measure]);
        }
    }
    for (const auto& [process, use] : result.processes) {
        all["processes"][std::to_string(process)] = {{"processor_s", use.processor_s},
                                                     {"memory_before_kb", use.memory_before_kb},
                                                     {"memory_peak_kb", use.memory_peak_kb}};
    }
    return all;
}

int run(const std::vector<std::string>& arguments) {
    const auto all = described();
    options::variables_map given;
    try {
        options::store(options::command_line_parser(arguments).options(all).run(), given);
    } catch (const options::error& wrong) {
        std::fprintf(stderr, "load: %s\n", wrong.what());
        return exit_usage;
    }
    if (given.count("help") != 0) {
        std::cout << all;
        return 0;
    }
    const auto plan = plan_of(given);
    if (!plan) {
        std::fputs("load: give --direct or --through as http://127.0.0.1:PORT, and counts within "
                   "their bounds\n",
                   stderr);
        return exit_usage;
    }
    const load_result result = run_load(*plan);
    const json printed = report(*plan, result);
    std::puts(printed.dump(given.count("json") != 0 ? -1 : 2).c_str());
    const bool all_answered = std::ranges::all_of(
        result.samples, [](const auto& each) { return each.second.failures.empty(); });
    return all_answered ? 0 : exit_failed;
}

} // namespace

const command load_command{"load", "latency over loopback, straight to an engine and through", run};

} // namespace camphorgrade::experiment
