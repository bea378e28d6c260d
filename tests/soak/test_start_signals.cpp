// Sends signals to the two programs of the users' platform in the first milliseconds of main().
// A signal that comes earlier, while the program is loaded, still ends the process; a supervisor
// avoids that by blocking the signals before it starts the program, which inherits the mask.
#include "../path/child_process.h"

#include <kernel/clock.h>

#include <catch2/catch.hpp>

#include <sys/types.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace camphorgrade;
using camphorgrade::testing::child_process;

namespace {

constexpr int starts = 24;
constexpr int delays = 12; // 0 to 11 ms
constexpr std::uint16_t first_port = 7'600;

/** A loopback network that other tests don't use. */
std::string own_network() {
    constexpr int first = 16;
    constexpr int count = 200;
    return "127." + std::to_string(first + getpid() % count) + ".32.";
}

/** A value of /proc/PID/status that is a set of signals. */
std::uint64_t signal_set_of(pid_t pid, const std::string& name) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + ':', 0) == 0) {
            return std::stoull(line.substr(name.size() + 1), nullptr, 16);
        }
    }
    return 0;
}

bool ignores_broken_pipes(pid_t pid) {
    return (signal_set_of(pid, "SigIgn") >> (SIGPIPE - 1) & 1) != 0;
}

class start_fixture {
public:
    explicit start_fixture(std::string program) : program_(std::move(program)) {
        std::array<char, 32> name{"/tmp/camphor-start-XXXXXX"};
        REQUIRE(mkdtemp(name.data()) != nullptr);
        folder_ = name.data();
        REQUIRE_FALSE(ignores_broken_pipes(getpid()));
    }
    ~start_fixture() { std::filesystem::remove_all(folder_); }
    start_fixture(const start_fixture&) = delete;
    start_fixture& operator=(const start_fixture&) = delete;

    child_process start(int number) const {
        const auto ip = own_network() + std::to_string(number + 1);
        const auto path = folder_ + '/' + std::to_string(number);
        std::ofstream(path + ".conf")
            << "node_name=node-" << number << "\nip=" << ip << "\nlisten.front=" << ip
            << ":8221\nlisten.ready=" << ip << ":8224\nlisten.control=" << ip << ":8229\napp=" << ip
            << ":9001\nplatform.address=" << ip << ":8225\nzone=one\nport_range=" << first_port
            << ',' << first_port + 15 << "\nheartbeat_ms=1200\nseeds=" << ip
            << ":8229\nbootstrap=true\n";
        return {program_, {"--settings", path + ".conf"}, path + ".log"};
    }

private:
    std::string program_;
    std::string folder_;
};

/** Waits until main() runs: its first action that is visible from outside is to ignore SIGPIPE. */
void await_main(const child_process& child) {
    monotonic_clock clock;
    const auto end = clock.now() + duration{5'000};
    while (!ignores_broken_pipes(child.pid())) {
        REQUIRE(clock.now() < end);
        std::this_thread::yield();
    }
}

/** Exit codes of `starts` processes that get `signals` up to 11 ms after main() begins. */
std::vector<int> signal_while_starting(const std::string& program,
                                       const std::vector<int>& signals) {
    const start_fixture fixture(program);
    std::vector<child_process> children;
    for (int i = 0; i < starts; ++i) {
        children.push_back(fixture.start(i));
        await_main(children.back());
        std::this_thread::sleep_for(std::chrono::milliseconds(i % delays));
        for (const int each : signals) {
            children.back().signal(each);
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (const auto& each : children) {
        each.signal(SIGTERM);
    }
    std::vector<int> codes;
    codes.reserve(children.size());
    for (auto& each : children) {
        codes.push_back(each.wait());
    }
    return codes;
}

} // namespace

TEST_CASE("signals that come while a program starts are handled once it runs") {
    const std::vector<int> all_orderly(starts, 0);
    for (const char* program : {"camphor-entry", "camphor-engine-agent"}) {
        INFO(program);
        CHECK(signal_while_starting(program, {SIGHUP}) == all_orderly);
        CHECK(signal_while_starting(program, {SIGTERM}) == all_orderly);
        CHECK(signal_while_starting(program, {SIGHUP, SIGTERM, SIGHUP}) == all_orderly);
    }
}
