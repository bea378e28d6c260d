#include "soak_world.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <utility>

namespace camphorgrade::soak {

namespace {

using boost::asio::ip::tcp;
using json = nlohmann::json;
namespace http = boost::beast::http;

// The third number of the loopback addresses 127.NETWORK.KIND.NUMBER. Addresses of VMs:
constexpr int entry_vm = 1;
constexpr int engine_vm = 2;
constexpr int service_vm = 3;
// Addresses of links, and of the servers that are reached through a link:
constexpr int caller_link_address = 11;
constexpr int engine_server_address = 12;
constexpr int service_server_address = 13;
constexpr int store_link_address = 14;

constexpr std::uint16_t callers_port = 8'221;
constexpr std::uint16_t readiness_port = 8'224;
constexpr std::uint16_t control_port = 8'229;
constexpr std::uint16_t store_port = 8'225;
constexpr std::uint16_t backend_port = 9'001;
constexpr std::uint16_t agent_port = 9'002;
constexpr std::uint16_t metrics_port = 9'464;

// Time for which the store keeps its changes; the programs assume the same.
constexpr duration store_history{20'000};

constexpr int first_network = 16;
constexpr int network_count = 200;

tcp::endpoint endpoint(const std::string& ip, std::uint16_t port) {
    return {boost::asio::ip::make_address(ip), port};
}

std::string host_port(const std::string& ip, std::uint16_t port) {
    return ip + ':' + std::to_string(port);
}

/** Finds a part of the loopback network that no other soak test uses. */
int find_free_network() {
    boost::asio::io_context loop;
    for (int attempt = 0; attempt < network_count; ++attempt) {
        const int network = first_network + (getpid() + attempt) % network_count;
        boost::system::error_code error;
        tcp::acceptor probe(loop);
        probe.open(tcp::v4());
        probe.bind(endpoint("127." + std::to_string(network) + ".11.1", callers_port), error);
        if (!error) {
            return network;
        }
    }
    throw std::runtime_error("no free part of the loopback network");
}

std::string create_log_folder() {
    std::array<char, 32> name{"/tmp/camphor-soak-XXXXXX"};
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a log directory under /tmp");
    }
    return name.data();
}

json route(request_class kind) {
    const bool is_stream = kind == request_class::plan || kind == request_class::answer;
    json out{{"name", route_path(kind)},
             {"host", soak_host},
             {"path_prefix", route_path(kind)},
             {"kind", is_stream                        ? "streaming"
                      : kind == request_class::booking ? "non_idempotent"
                                                       : "idempotent"},
             {"timeout_ms", route_timeout.count()},
             {"goal_ms", 500},
             {"gap_aim_ms", 300},
             {"priority", is_stream ? 1 : 0},
             {"service", route_service(kind)},
             {"max_attempts", max_attempts},
             {"public", false},
             {"resumable", kind == request_class::answer}};
    return out;
}

} // namespace

soak_world::soak_world(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
                       const soak_sizes& sizes, ledger& request_ledger)
    : loop_(loop), clock_(clock), random_(seed), ledger_(request_ledger),
      folder_(create_log_folder()), program_folder_(sizes.program_folder),
      network_(find_free_network()), store_(loop, clock) {
    for (const char* account : {"north", "south"}) {
        for (int number = 1; number <= 2; ++number) {
            const auto key = std::string(account) + "-key-" + std::to_string(number);
            callers_.keys.push_back({account, key, true, {}});
        }
    }
    store_.history_time = store_history;
    callers_.fault_free_time = [this](std::size_t gateway) {
        const auto now = clock_.now();
        const auto& site = entries_.at(gateway);
        return std::min({site.caller_link->fault_free_time(now),
                         site.store_link->fault_free_time(now),
                         site.process->fault_free_time(now)});
    };
    callers_.servers_of_version = [this](const std::string& version) {
        return static_cast<std::size_t>(
            std::count_if(backends_.begin(), backends_.end(), [&](const auto& each) {
                const auto& id = each.backend->id();
                return software_version_of(id) == version &&
                       !store_.value_of("servers/" + id).empty() &&
                       each.request_link->fault_free_time(clock_.now()) > duration::zero();
            }));
    };
    for (int i = 1; i <= sizes.entries; ++i) {
        add_entry(i);
    }
    for (int i = 1; i <= sizes.engines; ++i) {
        add_backend(i, true);
    }
    for (int i = 1; i <= sizes.services; ++i) {
        add_backend(i, false);
    }
}

soak_world::~soak_world() = default;

std::string soak_world::ip(int kind, int number) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(kind) + '.' +
           std::to_string(number);
}

std::string soak_world::common_settings() const {
    return "zone=one\nport_range=7600,7615\nheartbeat_ms=1200\nseeds=" +
           host_port(ip(entry_vm, 1), control_port) + ',' +
           host_port(ip(entry_vm, 2), control_port) +
           "\nbounds.grace_s=8\nbounds.drain_ms=2000\nbounds.budget_ratio=0.2\n"
           "bounds.budget_slack=50\nbounds.budget_window_s=10\n";
}

std::string soak_world::program_path(const std::string& name) const {
    return program_folder_.empty() ? name : program_folder_ + '/' + name;
}

void soak_world::add_entry(int number) {
    const auto vm_ip = ip(entry_vm, number);
    const auto store_ip = ip(store_link_address, number);
    const auto caller_endpoint = endpoint(ip(caller_link_address, number), callers_port);
    entry_site site;
    site.caller_link =
        std::make_unique<fault_link>(loop_, clock_, caller_endpoint, endpoint(vm_ip, callers_port));
    site.store_link = std::make_unique<fault_link>(loop_, clock_, endpoint(store_ip, store_port),
                                                   endpoint("127.0.0.1", store_.port()));
    const auto name = "entry-" + std::to_string(number);
    const auto settings =
        "node_name=" + name + "\nip=" + vm_ip + "\nlisten.front=" + host_port(vm_ip, callers_port) +
        "\nlisten.ready=" + host_port(vm_ip, readiness_port) +
        "\nlisten.control=" + host_port(vm_ip, control_port) +
        "\nplatform.address=" + host_port(store_ip, store_port) + '\n' + common_settings();
    site.process = std::make_unique<soak_process>(
        program_spec{program_path("camphor-entry"), name, settings, folder_}, ledger_);
    entries_.push_back(std::move(site));
    callers_.gateways.push_back(caller_endpoint);
}

void soak_world::add_backend(int number, bool is_engine) {
    const auto vm_ip = ip(is_engine ? engine_vm : service_vm, number);
    const auto server_endpoint = endpoint(
        ip(is_engine ? engine_server_address : service_server_address, number), backend_port);
    const auto name = (is_engine ? "engine-" : "desk-") + std::to_string(number);
    backend_site site;
    site.address = host_port(vm_ip, backend_port);
    site.backend = std::make_unique<soak_backend>(loop_, clock_, random_, ledger_, name,
                                                  is_engine ? "models" : "desk", is_engine);
    site.backend->listen(server_endpoint);
    site.request_link =
        std::make_unique<fault_link>(loop_, clock_, endpoint(vm_ip, backend_port), server_endpoint);
    if (is_engine) {
        site.agent_link = std::make_unique<fault_link>(loop_, clock_, endpoint(vm_ip, agent_port),
                                                       server_endpoint);
        const auto agent = "agent-" + std::to_string(number);
        const auto settings = "node_name=" + agent + "\nip=" + vm_ip +
                              "\napp=" + host_port(vm_ip, agent_port) +
                              "\nplatform.address=" + host_port("127.0.0.1", store_.port()) + '\n' +
                              common_settings();
        site.agent = std::make_unique<soak_process>(
            program_spec{program_path("camphor-engine-agent"), agent, settings, folder_}, ledger_);
    }
    backends_.push_back(std::move(site));
}

void soak_world::start() {
    write_configuration();
    write_registrations();
    for (auto* each : processes()) {
        each->start(clock_.now());
    }
}

void soak_world::write_configuration() {
    json accounts = json::array();
    for (const char* name : {"north", "south"}) {
        json keys = json::array();
        for (const auto& each : callers_.keys) {
            if (each.account == name && each.is_valid) {
                keys.push_back(each.key);
            }
        }
        accounts.push_back({{"name", name},
                            {"api_keys", keys},
                            {"priority", 0},
                            {"unit", "tokens"},
                            {"plain_tokens", 200},
                            {"rate_per_s", account_rate},
                            {"burst", account_burst}});
    }
    const json engine{{"slots", 64},
                      {"kv_tokens", 250'000},
                      {"weights_mb", 1'100},
                      {"adapter_slots", 3},
                      {"models",
                       {{{"name", "base"},
                         {"weights_mb", 1'000},
                         {"load_s", 0.5},
                         {"adapters", 8},
                         {"adapter_mb", 1}}}}};
    json routes = json::array();
    for (const auto kind : {request_class::plan, request_class::answer, request_class::booking,
                            request_class::report}) {
        routes.push_back(route(kind));
    }
    const json out{{"version", ++configuration_version_},
                   {"routes", routes},
                   {"services",
                    {{{"name", "models"}, {"engine", engine}},
                     {{"name", "desk"}, {"health_path", "/health"}}}},
                   {"tenants", accounts},
                   {"limits",
                    {{"max_header_bytes", 16'384},
                     {"max_body_bytes", 1'048'576},
                     {"header_timeout_ms", 3'000},
                     {"idle_timeout_ms", 15'000}}}};
    store_.put("op/config", out.dump());
}

void soak_world::write_registrations() {
    for (const auto& each : backends_) {
        write_registration(each, "ready");
    }
}

void soak_world::write_registration(const backend_site& site, const std::string& state) {
    store_.put("servers/" + site.backend->id(), site.backend->registration(site.address, state));
}

void soak_world::remove_registration(const backend_site& site) {
    store_.remove("servers/" + site.backend->id());
}

void soak_world::increment_adapter_version(int adapter) {
    const auto version = ++adapter_versions_.try_emplace(adapter, 1).first->second;
    const auto name = "a" + std::to_string(adapter);
    const json out{{"model", "base"}, {"adapter", name}, {"version", version}};
    store_.put("op/version/base." + name, out.dump());
}

void soak_world::poll() {
    const auto now = clock_.now();
    for (auto* each : processes()) {
        each->poll(now);
    }
}

void soak_world::clear_faults() {
    const auto now = clock_.now();
    store_.refuses = false;
    store_.is_silent = false;
    for (auto* each : links()) {
        each->clear_faults();
    }
    for (auto& each : callers_.keys) {
        each.changed_at = each.is_valid ? each.changed_at : now;
        each.is_valid = true;
    }
    write_configuration();
    for (auto& each : backends_) {
        each.backend->faults = {};
    }
    for (auto* each : processes()) {
        each->restore(now);
    }
}

bool soak_world::all_running() const {
    const auto is_running_process = [](const std::unique_ptr<soak_process>& each) {
        return each == nullptr || (each->is_running() && !each->is_unavailable());
    };
    for (const auto& each : entries_) {
        if (!is_running_process(each.process)) {
            return false;
        }
    }
    for (const auto& each : backends_) {
        if (!is_running_process(each.agent)) {
            return false;
        }
    }
    return true;
}

std::vector<soak_process*> soak_world::processes() {
    std::vector<soak_process*> out;
    for (auto& each : entries_) {
        out.push_back(each.process.get());
    }
    for (auto& each : backends_) {
        if (each.agent) {
            out.push_back(each.agent.get());
        }
    }
    return out;
}

std::vector<fault_link*> soak_world::links() {
    std::vector<fault_link*> out;
    for (auto& each : entries_) {
        out.push_back(each.caller_link.get());
        out.push_back(each.store_link.get());
    }
    for (auto& each : backends_) {
        out.push_back(each.request_link.get());
        if (each.agent_link) {
            out.push_back(each.agent_link.get());
        }
    }
    return out;
}

http_page fetch_page(const tcp::endpoint& server, const std::string& path) {
    boost::asio::io_context loop;
    boost::beast::tcp_stream stream(loop);
    boost::system::error_code error;
    stream.connect(server, error);
    if (error) {
        return {};
    }
    http::request<http::string_body> request{http::verb::get, path, 11};
    request.set(http::field::host, server.address().to_string());
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    http::write(stream, request, error);
    http::read(stream, buffer, answer, error);
    return error ? http_page{} : http_page{static_cast<int>(answer.result_int()), answer.body()};
}

tcp::endpoint soak_world::readiness_endpoint(std::size_t entry) const {
    return endpoint(ip(entry_vm, static_cast<int>(entry) + 1), readiness_port);
}

tcp::endpoint soak_world::metrics_endpoint(std::size_t entry) const {
    return endpoint(ip(entry_vm, static_cast<int>(entry) + 1), metrics_port);
}

} // namespace camphorgrade::soak
