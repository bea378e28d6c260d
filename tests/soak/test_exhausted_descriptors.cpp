// Lets callers hold more connections than the real gateway program has descriptors.
// CAMPHOR_PROGRAMS=FOLDER runs the programs of another build.
#include "timed_backend.h"

#include "../../libs/edge/tests/loop_thread.h"
#include "../../libs/edge/tests/raw_socket.h"
#include "../../platform/tests/store_standin.h"
#include "../path/child_process.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace camphorgrade;
using camphorgrade::testing::loop_thread;
using camphorgrade::testing::on_loop;
using camphorgrade::testing::raw_socket;
using json = nlohmann::json;

namespace {

constexpr rlim_t descriptors = 96;
constexpr int held_connections = 200;
constexpr std::chrono::seconds answer_timeout{3};
constexpr std::chrono::seconds observation{2};
constexpr double max_processor_share = 0.5;
constexpr const char* work_ms = "20000";

json configuration() {
    return {{"version", 1},
            {"routes",
             {{{"name", "read"},
               {"host", "full.example"},
               {"path_prefix", "/read/"},
               {"kind", "idempotent"},
               {"timeout_ms", 30'000},
               {"goal_ms", 500},
               {"priority", 0},
               {"service", "desk"},
               {"max_attempts", 2},
               {"public", true}}}},
            {"services", {{{"name", "desk"}}}},
            {"tenants", json::array()},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 1'048'576},
              {"header_timeout_ms", 15'000},
              {"idle_timeout_ms", 15'000}}}};
}

std::string request(const std::string& id, const std::string& work) {
    return "GET /read/x HTTP/1.1\r\nHost: full.example\r\nX-Request-Id: " + id + "\r\n" +
           std::string(soak::work_header) + ": " + work + "\r\nX-Deadline-Ms: 25000\r\n\r\n";
}

/** Processor time that a process has used, in s. */
double processor_seconds(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fields_before_times = 11;
    for (int i = 0; i < fields_before_times; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/** The gateway program with few descriptors, a store and a plain server. */
class small_gateway {
public:
    small_gateway()
        : store_(thread_, thread_.loop, clock_),
          desk_(thread_, thread_.loop, clock_, "desk-1", "desk") {
        std::uint16_t store_port = 0;
        thread_.run([&] {
            store_->put("op/config", configuration().dump());
            desk_->listen({ip_, desk_port});
            store_->put("servers/desk-1", desk_->registration(at(desk_port)));
            store_port = store_->port();
        });
        start(store_port);
    }
    ~small_gateway() {
        gateway_.reset();
        std::filesystem::remove_all(folder_);
    }
    small_gateway(const small_gateway&) = delete;
    small_gateway& operator=(const small_gateway&) = delete;

    raw_socket connect(std::uint16_t port) {
        boost::asio::ip::tcp::socket socket(client_loop_);
        socket.connect({ip_, port});
        return raw_socket(std::move(socket));
    }

    /** What a new caller gets; nothing if it has neither a response nor a close in time. */
    std::optional<std::string> ask(const std::string& id) {
        auto caller = std::make_shared<raw_socket>(connect(callers_port));
        std::promise<std::string> received;
        auto response = received.get_future();
        std::thread([caller, id, done = std::move(received)]() mutable {
            caller->send(request(id, "1"));
            done.set_value(caller->read_until("\r\n\r\n"));
        }).detach();
        if (response.wait_for(answer_timeout) != std::future_status::ready) {
            return std::nullopt;
        }
        return response.get();
    }

    pid_t pid() const { return gateway_->pid(); }

    static constexpr std::uint16_t callers_port = 8'221;
    static constexpr std::uint16_t readiness_port = 8'224;

private:
    static constexpr std::uint16_t desk_port = 9'001;

    static std::string own_ip() {
        constexpr int count = 200;
        return "127.88." + std::to_string(1 + getpid() % count) + ".9";
    }

    static std::string create_folder() {
        std::array<char, 32> name{"/tmp/camphor-full-XXXXXX"};
        REQUIRE(mkdtemp(name.data()) != nullptr);
        return name.data();
    }

    std::string at(std::uint16_t port) const {
        return ip_.to_string() + ':' + std::to_string(port);
    }

    void start(std::uint16_t store_port) {
        const auto path = folder_ + "/gateway.conf";
        std::ofstream(path) << "node_name=entry-1\nip=" << ip_.to_string()
                            << "\nlisten.front=" << at(callers_port)
                            << "\nlisten.ready=" << at(readiness_port)
                            << "\nplatform.address=127.0.0.1:" << store_port
                            << "\nzone=one\nport_range=7600,7615\nheartbeat_ms=1200\nseeds="
                            << "\nbounds.grace_s=8\nbootstrap=true\n";
        const char* programs = std::getenv("CAMPHOR_PROGRAMS");
        const std::string program =
            programs == nullptr ? "camphor-entry" : std::string(programs) + "/camphor-entry";
        rlimit before{};
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
        auto lowered = before;
        lowered.rlim_cur = descriptors;
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0); // the program inherits it
        gateway_.emplace(program, std::vector<std::string>{"--settings", path},
                         folder_ + "/gateway.log");
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
        for (int tries = 0; tries < 500 && !knows_server(); ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        REQUIRE(knows_server());
    }

    bool knows_server() const {
        return testing::read_file(folder_ + "/gateway.log").find("backend_server_registered") !=
               std::string::npos;
    }

    std::string folder_ = create_folder();
    boost::asio::ip::address ip_ = boost::asio::ip::make_address(own_ip());
    monotonic_clock clock_;
    boost::asio::io_context client_loop_;
    loop_thread thread_;
    on_loop<platform::testing::store_standin> store_;
    on_loop<soak::timed_backend> desk_;
    std::optional<testing::child_process> gateway_;
};

/** Asks the readiness address on a connection that is open already. */
bool is_ready(raw_socket& kept) {
    kept.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return kept.read_until("\r\n\r\n").find("HTTP/1.1 200") == 0;
}

/** Holds connections that have sent `bytes`, and checks what a new caller gets meanwhile. */
void check_with_held(const std::string& bytes) {
    small_gateway gateway;
    auto readiness = gateway.connect(small_gateway::readiness_port);
    REQUIRE(is_ready(readiness));
    std::vector<raw_socket> held;
    for (int i = 0; i < held_connections; ++i) {
        held.push_back(gateway.connect(small_gateway::callers_port));
        if (!bytes.empty()) {
            held.back().send(bytes);
        }
    }
    const auto before = processor_seconds(gateway.pid());
    std::this_thread::sleep_for(observation);
    const auto used = processor_seconds(gateway.pid()) - before;
    CHECK(used < max_processor_share * static_cast<double>(observation.count()));
    const auto response = gateway.ask("new");
    REQUIRE(response);
    CHECK(is_ready(readiness));
    INFO("response: " << *response);
    const bool is_served = response->find("HTTP/1.1 200") == 0;
    const bool is_refused = response->find("HTTP/1.1 503") == 0;
    CHECK((is_served || is_refused));
}

} // namespace

TEST_CASE("a gateway with all its descriptors held by idle callers answers a new caller") {
    check_with_held("");
}

TEST_CASE("a gateway with all its descriptors held by unfinished requests answers a new caller") {
    check_with_held("GET /read/x HTTP/1.1\r\nHost: full");
}

TEST_CASE("a gateway with all its descriptors held by waiting callers answers a new caller") {
    check_with_held(request("held", work_ms));
}
