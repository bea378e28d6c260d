// The platform's store comes back from a copy while the operator withdraws a key.
#include "../standins/deployment.h"
#include "../standins/loopback.h"
#include "../standins/store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

using namespace camphorgrade::review;

namespace {

using json = nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr int front_count = 4;
constexpr int worker_count = 4;
constexpr std::int64_t heartbeat_ms = 1'200;
// How old the copy is, and how long the store is away.
constexpr std::int64_t copy_age_ms = 3'000;
constexpr std::int64_t away_ms = 1'350;
// From the rules: bounds.stable_ms and bounds.config_apply_ms; and some time to spare.
constexpr std::int64_t stable_ms = 3'000;
constexpr std::int64_t config_apply_ms = 2'000;
constexpr std::int64_t spare_ms = 1'000;
constexpr std::int64_t observed_ms = 15'000;
constexpr std::int64_t request_interval_ms = 100;

constexpr const char* kept_key = "kept-key";
constexpr const char* withdrawn_key = "withdrawn-key";

/** The operator's configuration; `keys` are those of the one tenant. */
std::string configuration(int version, const json& keys) {
    const json route{{"name", "report-get"}, {"host", "desk.example"}, {"path_prefix", "/report/"},
                     {"kind", "idempotent"}, {"timeout_ms", 2'000},    {"goal_ms", 300},
                     {"priority", 2},        {"service", "site-desk"}, {"max_attempts", 2},
                     {"public", false}};
    const json limits{{"max_header_bytes", 16'384},
                      {"max_body_bytes", 1'048'576},
                      {"header_timeout_ms", 3'000},
                      {"idle_timeout_ms", 15'000}};
    const json out{{"version", version},
                   {"routes", {route}},
                   {"services", {{{"name", "site-desk"}, {"health_path", "/health"}}}},
                   {"tenants", {{{"name", "studios"}, {"api_keys", keys}}}},
                   {"limits", limits}};
    return out.dump();
}

/** Workers of the service, which record each request that they run. */
class workers {
public:
    workers(const std::string& network, record& log) : log_(log), born_(unix_ms()) {
        for (int i = 0; i < worker_count; ++i) {
            ips_.push_back(network + ".3." + std::to_string(i + 1));
            servers_.push_back(std::make_unique<http_server>(
                ips_.back(), 0, [this, i](exchange& each) { run(each, i); }));
        }
    }

    void register_all(store& platform, int sequence) {
        for (int i = 0; i < worker_count; ++i) {
            const json entry{{"service", "site-desk"},
                             {"address", ips_.at(i) + ':' + std::to_string(servers_.at(i)->port())},
                             {"zone", "rvk-a"},
                             {"version", "1"},
                             {"slots", 6},
                             {"state", "ready"},
                             {"cold_left_ms", 0},
                             {"sequence", sequence},
                             {"born", born_}};
            platform.put("servers/" + id(i), entry.dump());
        }
    }

private:
    static std::string id(int number) { return "i-" + std::to_string(number + 1); }

    void run(exchange& received, int number) {
        if (received.request().target() == "/health") {
            received.answer(200, {{"X-Instance-Id", id(number)}}, "");
            return;
        }
        const auto request = received.header("X-Request-Id");
        if (received.header("X-Expect-Instance") != id(number)) {
            received.answer(421, {{"X-Request-Id", request}, {"X-Not-Executed", "1"}}, "");
            return;
        }
        log_.line("ran " + request + " at " + id(number));
        received.answer(200, {{"X-Request-Id", request}, {"X-Response-Seal", "seal." + request}},
                        "room report");
    }

    record& log_;
    std::uint64_t born_;
    std::vector<std::string> ips_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

/** Sends a request with the key; returns the status of the answer. */
int send_request(const machine& to, const char* key, const std::string& id) {
    const auto head = "GET /report/room HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\n";
    return call(to.ip, front_port, head, "", 2'000).status;
}

/** Drill: the store is away and comes back from a copy. Returns the time of its return. */
std::int64_t restore_store(store& platform, record& log, const std::string& new_configuration) {
    log.line("the store goes away at revision " + std::to_string(platform.revision()));
    platform.go_away();
    sleep_ms(away_ms);
    const auto lost = platform.restore_copy();
    platform.come_back();
    const auto returned = now_ms();
    log.line("the store is back from its copy at revision " + std::to_string(platform.revision()));
    log.line("the operator's new configuration gets revision " +
             std::to_string(platform.put("op/config", new_configuration)));
    for (const auto& each : lost) {
        platform.put(each.key, each.value);
    }
    log.line("the lost writes are written again, up to revision " +
             std::to_string(platform.revision()));
    return returned;
}

struct observation {
    int run_late = 0; /**< Requests with the withdrawn key that ran after the bound. */
    int refused = 0;
    int kept_ok = 0;
};

observation observe(const std::vector<machine>& fronts, std::int64_t bound, record& log) {
    observation out;
    const auto end = bound + observed_ms;
    for (int number = 0; now_ms() < end; ++number) {
        for (const auto& each : fronts) {
            const auto id = each.name + '-' + std::to_string(number);
            const auto sent = now_ms();
            const int status = send_request(each, withdrawn_key, id);
            log.line("sent " + id + " with the withdrawn key, answered " + std::to_string(status) +
                     (sent > bound ? " (after the bound)" : ""));
            out.run_late += sent > bound && status == 200 ? 1 : 0;
            out.refused += status == 401 ? 1 : 0;
            out.kept_ok += send_request(each, kept_key, id + "-kept") == 200 ? 1 : 0;
        }
        sleep_ms(request_interval_ms);
    }
    return out;
}

int run_case(const std::string& record_path) {
    const auto network = "127." + std::to_string(find_free_network(front_port));
    // Static, since the threads of the servers use these until the process ends.
    static record log(record_path);
    static store platform(network + ".9.1");
    static workers desk(network, log);
    platform.put("op/config", configuration(1, {kept_key, withdrawn_key}));
    desk.register_all(platform, 1);
    const temporary_folder folder;
    std::vector<machine> fronts;
    const std::vector<std::string> zones{"rvk-a", "rvk-b", "rvk-c", "rvk-d"};
    const auto seed = [&](int i) { return network + ".1." + std::to_string(i) + ":8229"; };
    for (int i = 1; i <= front_count; ++i) {
        fronts.push_back({"front-" + std::to_string(i), network + ".1." + std::to_string(i),
                          zones.at(static_cast<std::size_t>(i) - 1), "",
                          network + ".9.1:" + std::to_string(platform.port()),
                          seed(1) + ',' + seed(2) + ',' + seed(3)});
    }
    std::vector<program> programs;
    programs.reserve(fronts.size());
    for (const auto& each : fronts) {
        programs.push_back(start_role(folder.path(), "camphor-entry", each));
    }
    for (const auto& each : fronts) {
        if (!wait_until_ready(each, 15'000)) {
            log.line(each.name + " isn't ready");
            return exit_not_run;
        }
    }
    std::atomic<bool> is_over{false};
    std::atomic<bool> is_away{false};
    std::thread heartbeats([&] {
        for (int sequence = 2; !is_over; ++sequence) {
            sleep_ms(heartbeat_ms);
            if (!is_away) {
                desk.register_all(platform, sequence);
            }
        }
    });
    sleep_ms(2'000);
    platform.save_copy();
    sleep_ms(copy_age_ms);
    const auto changed = configuration(2, {kept_key});
    std::int64_t acknowledged = 0;
    if (has_trouble()) {
        is_away = true;
        acknowledged = restore_store(platform, log, changed);
        is_away = false;
    } else {
        log.line("the operator's new configuration gets revision " +
                 std::to_string(platform.put("op/config", changed)));
        acknowledged = now_ms();
    }
    const auto bound = acknowledged + stable_ms + config_apply_ms + spare_ms;
    const auto seen = observe(fronts, bound, log);
    is_over = true;
    heartbeats.join();
    log.line("requests with the withdrawn key that ran after the bound: " +
             std::to_string(seen.run_late) +
             "; refused with 401 at any time: " + std::to_string(seen.refused) +
             "; with the kept key answered 200: " + std::to_string(seen.kept_ok));
    if (seen.kept_ok == 0) {
        return exit_not_run;
    }
    return seen.run_late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: store_copy RECORD\n";
        return exit_not_run;
    }
    int code = exit_not_run;
    try {
        code = run_case(argv[1]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    std::_Exit(code); // the threads of the servers never end
}
