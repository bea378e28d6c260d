// Stops the real gateway program with SIGTERM while callers go on sending requests to it.
#include "planned_caller.h"
#include "timed_backend.h"

#include "../../platform/tests/store_standin.h"
#include "../path/child_process.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

using boost::asio::ip::tcp;
using json = nlohmann::json;

constexpr duration grace{8'000};
// A request that wasn't passed on may lose its connection within this time after its last byte.
constexpr duration loss_slack{200};
// A response that has begun may be cut if its backend server still works in this last part of the
// grace, and the request was sent no later than `early_request` after SIGTERM.
constexpr duration last_part = grace / 6;
constexpr duration early_request{3'000};
constexpr duration step{5};
// Offsets from SIGTERM.
constexpr duration first_request{-2'500};
constexpr duration last_connection{2'400};
constexpr duration last_request{8'000};

bool means_not_run(int status) {
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

json route(const std::string& name, const std::string& kind, const std::string& service) {
    return {{"name", name},       {"host", "stop.example"}, {"path_prefix", '/' + name + '/'},
            {"kind", kind},       {"timeout_ms", 20'000},   {"goal_ms", 5'000},
            {"gap_aim_ms", 1000}, {"priority", 0},          {"service", service},
            {"max_attempts", 2},  {"public", true},         {"resumable", false}};
}

/** The gateway program, a store, and one backend server for each of two services. */
class stop_world {
public:
    stop_world() {
        backend_.listen({ip_, backend_port});
        limited_.listen({ip_, limited_port});
        limited_.request_limit = 0.5;
        const json config{
            {"version", 1},
            {"routes",
             {route("change", "non_idempotent", "desk"), route("read", "idempotent", "desk"),
              route("stream", "streaming", "desk"), route("limited", "non_idempotent", "narrow")}},
            {"services", {{{"name", "desk"}}, {{"name", "narrow"}}}},
            {"tenants", json::array()}};
        store_.put("op/config", config.dump());
        store_.put("servers/desk-1", backend_.registration(at(backend_port)));
        store_.put("servers/narrow-1", limited_.registration(at(limited_port)));
        start();
    }

    ~stop_world() {
        gateway_.reset();
        std::filesystem::remove_all(folder_);
    }
    stop_world(const stop_world&) = delete;
    stop_world& operator=(const stop_world&) = delete;

    void add(const planned_request& request) {
        callers_.push_back(std::make_unique<planned_caller>(
            loop, clock, tcp::endpoint{ip_, callers_port}, request));
        callers_.back()->start();
    }

    template <typename Done>
    bool run_until(time_point end, Done is_done) {
        while (!is_done() && clock.now() < end) {
            loop.run_for(step);
        }
        return is_done();
    }

    void run_until(time_point end) {
        run_until(end, [] { return false; });
    }

    bool are_callers_done() const {
        return std::all_of(callers_.begin(), callers_.end(),
                           [](const auto& each) { return each->is_done(); });
    }

    std::vector<planned_result> results() const {
        std::vector<planned_result> out;
        for (const auto& each : callers_) {
            out.insert(out.end(), each->results().begin(), each->results().end());
        }
        return out;
    }

    const timed_run* run_of(const std::string& request) const {
        const auto* run = backend_.run_of(request);
        return run != nullptr ? run : limited_.run_of(request);
    }

    testing::child_process& gateway() { return *gateway_; }
    std::string log() const { return testing::read_file(folder_ + "/gateway.log"); }

    monotonic_clock clock;
    boost::asio::io_context loop;

private:
    static constexpr std::uint16_t callers_port = 8'221;
    static constexpr std::uint16_t readiness_port = 8'224;
    static constexpr std::uint16_t control_port = 8'229;
    static constexpr std::uint16_t backend_port = 9'001;
    static constexpr std::uint16_t limited_port = 9'002;

    /** A loopback address that other tests don't use. */
    static std::string own_ip() {
        constexpr int first = 16;
        constexpr int count = 200;
        const int id = getpid();
        return "127." + std::to_string(first + id % count) + ".31." +
               std::to_string(1 + id / count % count);
    }

    static std::string create_folder() {
        std::array<char, 32> name{"/tmp/camphor-stop-XXXXXX"};
        REQUIRE(mkdtemp(name.data()) != nullptr);
        return name.data();
    }

    std::string at(std::uint16_t port) const {
        return ip_.to_string() + ':' + std::to_string(port);
    }

    void start() {
        const auto path = folder_ + "/gateway.conf";
        std::ofstream(path) << "node_name=entry-1\nip=" << ip_.to_string()
                            << "\nlisten.front=" << at(callers_port)
                            << "\nlisten.ready=" << at(readiness_port)
                            << "\nlisten.control=" << at(control_port)
                            << "\nplatform.address=127.0.0.1:" << store_.port()
                            << "\nzone=one\nport_range=7600,7615\nheartbeat_ms=1200\nseeds="
                            << at(control_port) << "\nbounds.grace_s=" << grace.count() / 1'000
                            << "\nbounds.drain_ms=2000\nbounds.budget_ratio=0.2\n"
                               "bounds.budget_slack=50\nbounds.budget_window_s=10\n"
                               "bootstrap=true\n";
        gateway_.emplace("camphor-entry", std::vector<std::string>{"--settings", path},
                         folder_ + "/gateway.log");
        const auto has_state = [this] {
            return log().find("backend_server_registered") != std::string::npos;
        };
        REQUIRE(run_until(clock.now() + duration{5'000}, has_state));
    }

    std::string folder_ = create_folder();
    boost::asio::ip::address ip_ = boost::asio::ip::make_address(own_ip());
    platform::testing::store_standin store_{loop, clock};
    timed_backend backend_{loop, clock, "desk-1", "desk"};
    timed_backend limited_{loop, clock, "narrow-1", "narrow"};
    std::optional<testing::child_process> gateway_;
    std::vector<std::unique_ptr<planned_caller>> callers_;
};

/** Adds requests that are sent throughout the grace, on connections that were opened in time. */
void add_requests(stop_world& world, time_point stop) {
    constexpr duration interval{50};
    constexpr std::array targets{"/change/", "/read/", "/stream/", "/change/", "/limited/"};
    constexpr std::array<duration::rep, 7> work_ms{100, 7'000, 700, 2'000, 6'500, 300, 5'500};
    std::size_t number = 0;
    for (auto at = first_request; at < last_request; at += interval) {
        planned_request request;
        request.id = "r" + std::to_string(number);
        request.target = targets.at(number % targets.size());
        request.work = duration{work_ms.at(number % work_ms.size())};
        request.send_at = stop + at;
        request.connect_at = stop + std::min(at - interval, last_connection);
        world.add(request);
        ++number;
    }
    for (const auto& target : targets) {
        world.add({"k" + std::to_string(number++), target, duration{40}, stop + first_request,
                   stop + first_request, std::nullopt, true});
    }
}

/** Adds requests of which a half arrives in time, and the rest much later or never. */
void add_halved_requests(stop_world& world, time_point stop) {
    for (const auto rest_after : {500, 3'000, 6'000, 60'000}) {
        const auto sent = stop + duration{2'000};
        world.add({"half" + std::to_string(rest_after), "/change/", duration{100}, sent, sent,
                   sent + duration{rest_after}});
    }
}

/** Whether a request that was sent whole may end without a complete response. */
bool may_be_incomplete(const planned_result& result, const timed_run* run, time_point stop) {
    if (run == nullptr) {
        return *result.ended - *result.sent <= loss_slack;
    }
    const bool has_begun = result.status != 0;
    const bool was_at_work = !run->ended || *run->ended >= stop + grace - last_part;
    return has_begun && was_at_work && *result.sent <= stop + early_request;
}

void check_result(const planned_result& result, const timed_run* run, time_point stop) {
    if (!result.sent) {
        return;
    }
    INFO(result.request.id << ' ' << result.request.target << " works "
                           << result.request.work.count() << " ms, sent at "
                           << (*result.sent - stop).count() << " ms, ended at "
                           << (result.ended ? (*result.ended - stop).count() : -1) << " ms, status "
                           << result.status << ", ran " << (run != nullptr) << ' ' << result.error);
    REQUIRE(result.ended);
    if (!result.has_complete_response) {
        CHECK(may_be_incomplete(result, run, stop));
        return;
    }
    CHECK_FALSE((means_not_run(result.status) && run != nullptr));
    if (result.status == 200 && result.request.target != "/stream/") {
        CHECK(result.body == timed_body(result.request.id));
    }
}

} // namespace

TEST_CASE("a planned stop answers each request that was read whole") {
    stop_world world;
    const auto stop = world.clock.now() - first_request + duration{100};
    add_requests(world, stop);
    add_halved_requests(world, stop);
    world.run_until(stop);
    world.gateway().signal(SIGTERM);
    world.run_until(stop + duration{1'000});
    world.gateway().signal(SIGHUP);
    world.run_until(stop + duration{1'500});
    world.gateway().signal(SIGTERM);
    std::optional<int> exit_code;
    CHECK(world.run_until(stop + grace, [&] {
        exit_code = exit_code ? exit_code : world.gateway().try_wait();
        return exit_code.has_value();
    }));
    CHECK(exit_code == 0);
    CHECK(
        world.run_until(stop + grace + duration{1'000}, [&] { return world.are_callers_done(); }));
    std::map<int, int> responses;
    for (const auto& each : world.results()) {
        check_result(each, world.run_of(each.request.id), stop);
        responses[each.has_complete_response ? each.status : 0] += each.sent ? 1 : 0;
    }
    // Each way to end a request occurs.
    CHECK(responses[200] > 50);
    CHECK(responses[503] > 20);
    CHECK(responses[504] > 5);
}
