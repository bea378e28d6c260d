#include "delivery_command.h"

#include "delivery_measures.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>
#include <string>

namespace camphorgrade::experiment {

namespace {

namespace po = boost::program_options;
using json = nlohmann::ordered_json;

constexpr int exit_usage = 2;

json measure_all_records(std::uint64_t seed) {
    json rows = json::array();
    for (const unsigned agents : {1U, 4U}) {
        for (const int delay_ms : {2, 50}) {
            for (const unsigned rate : {10U, 50U, 200U, 500U}) {
                record_case measured;
                measured.agents = agents;
                measured.bookings_per_s = rate;
                measured.store_delay = duration{delay_ms};
                measured.seed = seed;
                const record_cost cost = measure_records(measured);
                rows.push_back({{"agents", agents},
                                {"store_delay_ms", delay_ms},
                                {"bookings_per_s", rate},
                                {"p50_ms", cost.p50_ms},
                                {"p99_ms", cost.p99_ms},
                                {"writes_per_booking", cost.writes_per_booking},
                                {"store_calls_per_booking", cost.calls_per_booking},
                                {"bookings", cost.bookings},
                                {"not_run", cost.not_run}});
            }
        }
    }
    return rows;
}

json measure_outages(std::uint64_t seed) {
    constexpr unsigned requests_per_s = 200;
    json rows = json::array();
    for (const unsigned down : {0U, 1U, 2U, 4U}) {
        const outage_cost cost = measure_outage(down, requests_per_s, seed);
        rows.push_back({{"backends_down_of_4", down},
                        {"requests", cost.requests},
                        {"retries", cost.retries},
                        {"retries_per_request",
                         static_cast<double>(cost.retries) / static_cast<double>(cost.requests)},
                        {"whole_answers", cost.answered},
                        {"slowest_answer_ms", cost.slowest_answer_ms}});
    }
    return rows;
}

json measure_all_leaving(std::uint64_t seed) {
    constexpr unsigned requests_per_s = 200;
    json rows = json::array();
    for (const int lag_ms : {100, 1'000, 2'000}) {
        const leaving_cost cost = measure_leaving(duration{lag_ms}, requests_per_s, seed);
        rows.push_back({{"gateways_learn_after_ms", lag_ms},
                        {"last_request_started_ms", cost.last_start_ms},
                        {"last_request_sent_ms", cost.last_offer_ms},
                        {"requests", cost.requests},
                        {"not_whole", cost.not_whole}});
    }
    return rows;
}

void print_table(const std::string& title, const json& rows) {
    std::printf("%s\n", title.c_str());
    for (const json& row : rows) {
        for (const auto& [name, value] : row.items()) {
            std::printf("  %s=%s", name.c_str(), value.dump().c_str());
        }
        std::printf("\n");
    }
}

int run_delivery(const std::vector<std::string>& arguments) {
    std::uint64_t seed = 0;
    po::options_description options("camphor-experiment delivery");
    options.add_options()("help", "show this text")("json", "print JSON")(
        "seed", po::value(&seed)->default_value(5), "seed of all random choices");
    po::variables_map given;
    try {
        po::store(po::command_line_parser(arguments).options(options).run(), given);
        po::notify(given);
    } catch (const po::error& error) {
        std::fprintf(stderr, "camphor-experiment delivery: %s\n", error.what());
        return exit_usage;
    }
    if (given.contains("help")) {
        std::ostringstream text;
        text << options;
        std::printf("%s", text.str().c_str());
        return 0;
    }
    const json result{{"seed", seed},
                      {"records", measure_all_records(seed)},
                      {"outage", measure_outages(seed)},
                      {"leaving", measure_all_leaving(seed)}};
    if (given.contains("json")) {
        std::printf("%s\n", result.dump(2).c_str());
        return 0;
    }
    for (const char* part : {"records", "outage", "leaving"}) {
        print_table(part, result.at(part));
    }
    return 0;
}

} // namespace

const command delivery_command{
    "delivery", "measure at-most-once records, retries in an outage, and leaving", run_delivery};

} // namespace camphorgrade::experiment
