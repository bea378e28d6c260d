// A stream that began at one software version goes on at another: the last worker of the old
// version leaves, and the entry at which the clients come back has started since.
#include "../standins/deployment.h"
#include "../standins/loopback.h"
#include "../standins/store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

using namespace camphorgrade::review;

namespace {

using json = nlohmann::json;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr int front_count = 4;
constexpr int restarted_front = 1; // counted from 0
constexpr int worker_count = 4;    // the first one has the old version
constexpr int streams_per_front = 24;
constexpr std::int64_t stagger_ms = 25;
constexpr std::int64_t heartbeat_ms = 1'200;
constexpr int event_count = 32;
constexpr std::int64_t event_interval_ms = 250;
constexpr std::int64_t deadline_ms = 10'000;
// The rule allows two streams.
constexpr int allowed_streams = 2;

// Times after the first stream was sent: the last worker of the old version leaves, one entry is
// killed, that worker ends.
constexpr std::int64_t leaves_ms = 2'000;
constexpr std::int64_t killed_ms = 3'500;
constexpr std::int64_t restarted_ms = 3'800;
constexpr std::int64_t ends_ms = 7'000;

std::string configuration() {
    const json route{{"name", "studio-plan"},
                     {"host", "acoustics.example"},
                     {"path_prefix", "/studio/"},
                     {"kind", "streaming"},
                     {"timeout_ms", 10'000},
                     {"goal_ms", 1'000},
                     {"gap_aim_ms", 300},
                     {"priority", 1},
                     {"service", "acoustic-llm"},
                     {"max_attempts", 2},
                     {"public", true},
                     {"resumable", true}};
    const json model{{"name", "m0"},
                     {"weights_mb", 65'100},
                     {"load_s", 1.9},
                     {"adapters", 3'000},
                     {"adapter_mb", 12}};
    const json engine{{"slots", 64},
                      {"kv_tokens", 254'706},
                      {"weights_mb", 66'000},
                      {"adapter_slots", 7},
                      {"models", {model}}};
    const json limits{{"max_header_bytes", 16'384},
                      {"max_body_bytes", 1'048'576},
                      {"header_timeout_ms", 3'000},
                      {"idle_timeout_ms", 15'000}};
    const json out{
        {"version", 1},
        {"routes", {route}},
        {"services", {{{"name", "acoustic-llm"}, {"health_path", "/health"}, {"engine", engine}}}},
        {"limits", limits}};
    return out.dump();
}

std::string chunk(const std::string& bytes) {
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

/** The workers of the service in the middle of a release. */
class workers {
public:
    workers(const std::string& network, record& log) : log_(log), born_(unix_ms()) {
        for (int i = 0; i < worker_count; ++i) {
            ips_.push_back(network + ".3." + std::to_string(i + 1));
            servers_.push_back(std::make_unique<http_server>(
                ips_.back(), 0, [this, i](exchange& each) { run(each, i); }));
        }
    }

    /** One heartbeat of each worker; none of the first one once it leaves. */
    void write_heartbeats(store& platform, int sequence) {
        for (int i = is_leaving ? 1 : 0; i < worker_count; ++i) {
            const auto number = static_cast<std::size_t>(i);
            const json entry{
                {"service", "acoustic-llm"},
                {"address", ips_.at(number) + ':' + std::to_string(servers_.at(number)->port())},
                {"zone", "rvk-a"},
                {"version", version(i)},
                {"slots", 64},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
                {"sequence", sequence},
                {"born", born_}};
            platform.put("servers/" + id(i), entry.dump());
        }
    }

    void end_first() { servers_.front()->stop(); }

    static std::string id(int number) { return "i-" + std::to_string(number + 1); }

    std::atomic<bool> is_leaving{false};

    /** The machine beside which a worker runs. */
    machine side(int number, const store& platform, const std::string& network) const {
        const auto& ip = ips_.at(static_cast<std::size_t>(number));
        const auto port = servers_.at(static_cast<std::size_t>(number))->port();
        return {"side-" + std::to_string(number + 1),
                ip,
                "rvk-a",
                ip + ':' + std::to_string(port),
                network + ".9.1:" + std::to_string(platform.port()),
                network + ".1.1:8229"};
    }

private:
    std::string report() const {
        const json out{{"stage", "colocated"},
                       {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
                       {"coming", json::array()},
                       {"busy", false},
                       {"sequence", 0},
                       {"waiting", 0},
                       {"running", 0},
                       {"kv_used", 0},
                       {"kv_total", 254'706},
                       {"handles", 0},
                       {"born", born_}};
        return out.dump();
    }

    static std::string version(int number) { return number == 0 ? "v1" : "v2"; }

    void run(exchange& received, int number) {
        if (received.request().target() == "/health") {
            received.answer(200, {{"X-Instance-Id", id(number)}}, "");
            return;
        }
        if (received.request().target() == "/camphorgrade/report") {
            received.answer(200, {{"Content-Type", "application/json"}}, report());
            return;
        }
        const auto request = received.header("X-Request-Id");
        if (received.header("X-Expect-Instance") != id(number)) {
            received.answer(421, {{"X-Request-Id", request}, {"X-Not-Executed", "1"}}, "");
            return;
        }
        const auto last = received.header("Last-Event-Id");
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        log_.line("run of " + request + " begins at " + id(number) + ' ' + version(number) +
                  " with event " + std::to_string(first));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\nX-Request-Id: " +
                           request + "\r\nX-Response-Seal: seal." + request + "\r\n";
        if (number == 0 && is_leaving) {
            head += "Server-Leaving: 1\r\n";
        }
        received.send(head + "\r\n");
        for (int event = first; event <= event_count; ++event) {
            sleep_ms(event_interval_ms);
            const auto text =
                "id: " + std::to_string(event) + "\ndata: by " + version(number) + "\n\n";
            if (!received.send(chunk(text))) {
                log_.line("run of " + request + " is cut at " + id(number));
                return;
            }
        }
        received.send("0\r\n\r\n");
        log_.line("run of " + request + " ends at " + id(number));
    }

    record& log_;
    std::uint64_t born_;
    std::vector<std::string> ips_;
    std::vector<std::unique_ptr<http_server>> servers_;
};

/** The id of the last event in `body`; 0: there is none. */
int last_event_in(const std::string& body) {
    const auto end = body.rfind("\n\n");
    const auto at = end == std::string::npos ? end : body.rfind("id: ", end);
    return at == std::string::npos ? 0 : std::stoi(body.substr(at + 4));
}

bool holds(const std::string& body, const std::string& version) {
    return body.find("data: by " + version + "\n\n") != std::string::npos;
}

struct counts {
    std::atomic<int> whole{0};
    std::atomic<int> taken_up{0}; /**< Streams that their clients tried to take up again. */
    std::atomic<int> refused{0};  /**< Of these: not gone on with. */
    std::atomic<int> mixed{0};    /**< Of these: with events of two software versions. */
};

reply ask(const machine& front, const std::string& id, const std::string& more_headers) {
    return call(front.ip, front_port,
                "POST /studio/plan HTTP/1.1\r\nHost: acoustics.example\r\nX-Model: m0\r\n"
                "X-Token-Usage: 2890,128\r\nX-Request-Id: " +
                    id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
                    more_headers,
                "studio", deadline_ms + 500);
}

/** One client: a stream at `first`, taken up once at `other` if its connection breaks. */
void play_client(const machine& first, const machine& other, const std::string& id, counts& seen,
                 record& log) {
    log.line("sent " + id + " to " + first.name);
    const auto began = ask(first, id, "");
    const int last = last_event_in(began.body);
    log.line("answered " + id + ": " + (began.status == 200 ? "whole" : "broken") +
             " after event " + std::to_string(last) + (holds(began.body, "v1") ? " v1" : " v2"));
    if (began.status == 200) {
        ++seen.whole;
        return;
    }
    if (last == 0) {
        return;
    }
    ++seen.taken_up;
    log.line("sent " + id + "-again to " + other.name);
    const auto rest = ask(other, id + "-again",
                          "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + id + "\r\n");
    const bool is_mixed = (holds(began.body, "v1") || holds(rest.body, "v1")) &&
                          (holds(began.body, "v2") || holds(rest.body, "v2"));
    log.line("answered " + id + "-again with " + std::to_string(rest.status) +
             (is_mixed ? ": broken: goes on at another software version"
                       : " after event " + std::to_string(last_event_in(rest.body))));
    seen.refused += rest.status == 503 ? 1 : 0;
    seen.mixed += is_mixed ? 1 : 0;
}

/** The machines of the entries, one in each zone. */
std::vector<machine> front_machines(const std::string& network, const store& platform) {
    const std::vector<std::string> zones{"rvk-a", "rvk-b", "rvk-c", "rvk-d"};
    std::string seeds;
    for (int i = 1; i < front_count; ++i) {
        seeds.append(i == 1 ? "" : ",").append(network).append(".1.");
        seeds.append(std::to_string(i)).append(":8229");
    }
    const auto store_address = network + ".9.1:" + std::to_string(platform.port());
    std::vector<machine> out;
    out.reserve(front_count);
    for (int i = 0; i < front_count; ++i) {
        const auto number = std::to_string(i + 1);
        out.push_back({"front-" + number, std::string(network).append(".1.").append(number),
                       zones.at(static_cast<std::size_t>(i)), "", store_address, seeds});
    }
    return out;
}

/** Starts the clients. Streams begin at the entries that aren't restarted; a retry reaches any
   other entry. */
void start_clients(const std::vector<machine>& fronts, std::vector<std::thread>& threads,
                   counts& seen, record& log) {
    for (int i = 0; i < streams_per_front * (front_count - 1); ++i) {
        const int at = i % (front_count - 1);
        const int first = at < restarted_front ? at : at + 1;
        const int step = 1 + i / (front_count - 1) % (front_count - 1);
        const auto& other = fronts.at(static_cast<std::size_t>((first + step) % front_count));
        threads.emplace_back(
            [&seen, &log, from = fronts.at(static_cast<std::size_t>(first)), other,
             id = "stream-" + std::to_string(i + 1)] { play_client(from, other, id, seen, log); });
        sleep_ms(stagger_ms);
    }
}

int judge(const counts& seen, record& log) {
    log.line("streams: whole " + std::to_string(seen.whole) + ", taken up again " +
             std::to_string(seen.taken_up) + ", of these refused " + std::to_string(seen.refused) +
             ", with events of two software versions " + std::to_string(seen.mixed) +
             " (allowed: " + std::to_string(allowed_streams) + ")");
    if (seen.taken_up <= allowed_streams) {
        return exit_not_run;
    }
    return seen.mixed > allowed_streams ? exit_broken : exit_held;
}

int run_case(const std::string& record_path) {
    // Static, since the threads of the servers use these until the process ends.
    static record log(record_path);
    static counts seen;
    const auto network = "127." + std::to_string(find_free_network(front_port));
    static store platform(network + ".9.1");
    static workers advice(network, log);
    platform.put("op/config", configuration());
    advice.write_heartbeats(platform, 1);
    const temporary_folder folder;
    const auto fronts = front_machines(network, platform);
    std::vector<std::unique_ptr<program>> programs;
    programs.reserve(fronts.size() + worker_count);
    for (const auto& each : fronts) {
        programs.push_back(
            std::make_unique<program>(start_role(folder.path(), "camphor-entry", each)));
    }
    for (const auto& each : fronts) {
        if (!wait_until_ready(each, 15'000)) {
            return exit_not_run;
        }
    }
    for (int i = 0; i < worker_count; ++i) {
        programs.push_back(std::make_unique<program>(
            start_role(folder.path(), "camphor-engine-agent", advice.side(i, platform, network))));
    }
    std::atomic<bool> is_over{false};
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        for (int sequence = 2; !is_over; ++sequence) {
            sleep_ms(heartbeat_ms);
            advice.write_heartbeats(platform, sequence);
        }
    });
    sleep_ms(1'500);
    const auto& restarted = fronts.at(restarted_front);
    const auto begin = now_ms();
    const auto wait_until = [&](std::int64_t after) { sleep_ms(begin + after - now_ms()); };
    start_clients(fronts, threads, seen, log);
    wait_until(leaves_ms);
    advice.is_leaving = true;
    platform.remove("servers/" + workers::id(0));
    log.line("the last worker of v1 leaves; the store has removed its registration");
    wait_until(killed_ms);
    if (has_trouble()) {
        programs.at(restarted_front).reset();
        log.line(restarted.name + " was killed");
        wait_until(restarted_ms);
        programs.at(restarted_front) =
            std::make_unique<program>(start_role(folder.path(), "camphor-entry", restarted));
        log.line(restarted.name + " was started again");
    }
    wait_until(ends_ms);
    advice.end_first();
    log.line("the last worker of v1 has ended");
    for (std::size_t i = 1; i < threads.size(); ++i) {
        threads.at(i).join();
    }
    is_over = true;
    threads.front().join();
    return judge(seen, log);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: two_versions RECORD\n";
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
