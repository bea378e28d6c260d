#include "test_site.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace camphorgrade::testing {

namespace {

std::string numbered(const std::string& name, int number) {
    return name + "-" + std::to_string(number + 1);
}

std::string make_directory() {
    std::array<char, 32> name{"/tmp/camphor-site-XXXXXX"};
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a directory");
    }
    return name.data();
}

} // namespace

test_site::test_site(const site_options& options) : directory_(make_directory()) {
    start_standins(options);
    apply_text(options);
    for (int i = 0; i < options.engines; ++i) {
        const std::string name = numbered("agent-engine", i);
        agents_.push_back(name);
        start_node(name, "camphor-agent", "backend_server: " + numbered("engine", i) + "\n");
    }
    for (int i = 0; i < options.bookings; ++i) {
        const std::string name = numbered("agent-booking", i);
        agents_.push_back(name);
        start_node(name, "camphor-agent", "backend_server: " + numbered("booking", i) + "\n");
    }
    for (int i = 0; i < options.gateways; ++i) {
        const std::string name = numbered("gateway", i);
        gateways_.push_back(name);
        ports_[name + "-callers"] = free_port();
        start_node(name, "camphor-gateway",
                   "callers_listen: \"" + address(name + "-callers") + "\"\n");
    }
    if (!wait_serving()) {
        throw std::runtime_error("the site does not come up:\n" + logs());
    }
}

test_site::~test_site() {
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::string test_site::address(const std::string& name) const {
    return "127.0.0.1:" + std::to_string(ports_.at(name));
}

std::string test_site::write_file(const std::string& name, const std::string& text) const {
    std::string path = directory_ + "/" + name;
    std::ofstream(path, std::ios::binary) << text;
    return path;
}

void test_site::start_standins(const site_options& options) {
    start_standin("kv", {"kv"});
    start_standin("vms", {"vms"});
    for (int i = 0; i < options.engines; ++i) {
        std::vector<std::string> arguments{"engine", "--slots", std::to_string(options.slots)};
        arguments.insert(arguments.end(), options.engine_arguments.begin(),
                         options.engine_arguments.end());
        start_standin(numbered("engine", i), std::move(arguments));
    }
    for (int i = 0; i < options.bookings; ++i) {
        start_standin(numbered("booking", i), {"service"});
    }
}

void test_site::start_standin(const std::string& name, std::vector<std::string> arguments) {
    ports_[name] = free_port();
    arguments.insert(arguments.end(), {"--listen", address(name)});
    launches_[name] = {"camphor-standin", arguments};
    processes_.emplace(
        name, child_process("camphor-standin", arguments, directory_ + "/" + name + ".log"));
}

std::string test_site::operators_text(const site_options& options) const {
    std::ostringstream text;
    text << "format: 1\ndeployment: test-site\nweigh: load_stalls\n"
            "client_accounts:\n"
            "  - {name: designers, rate_tokens_per_s: 100000, burst_tokens: 1000000}\n"
            "  - {name: trial, rate_tokens_per_s: 10, burst_tokens: 400}\n"
            "models:\n  - {name: base}\n"
            "adapters:\n"
            "  - {name: hall, model: base, versions: [v1, v2], default_version: v2}\n"
            "  - {name: studio, model: base, versions: [v1], default_version: v1}\n"
            "  - {name: plan, model: base, versions: [v1], default_version: v1}\n"
            "services:\n"
            "  - {name: assistant, kind: model, model: base, request_timeout_ms: 30000}\n"
            "  - {name: booking, kind: plain, cost_tokens: 5, not_repeatable: [POST],\n"
            "     request_timeout_ms: 10000}\n"
            "  - {name: hours, kind: plain, access: open}\n"
            "backend_servers:\n";
    for (int i = 0; i < options.engines; ++i) {
        text << "  - {name: " << numbered("engine", i) << ", address: \""
             << address(numbered("engine", i))
             << "\", kind: engine, model: base, slots: " << options.slots
             << ", data_centre: dc-1}\n";
    }
    for (int i = 0; i < options.bookings; ++i) {
        text << "  - {name: " << numbered("booking", i) << ", address: \""
             << address(numbered("booking", i))
             << "\", kind: plain, services: [booking, hours], data_centre: dc-1}\n";
    }
    return text.str();
}

void test_site::apply_text(const site_options& options) {
    if (!wait_for_status(port("kv"), "/control/counts", 200)) {
        throw std::runtime_error("the key-value stand-in does not come up");
    }
    const std::string file = write_file("operators.yaml", operators_text(options));
    const auto applied = control({"apply", file});
    const auto given = control({"key", "give", "designers"});
    if (applied.exit_code != 0 || given.exit_code != 0) {
        throw std::runtime_error("cannot apply the text: " + applied.output + given.output);
    }
    const auto at = given.output.find("cg_");
    key_ = given.output.substr(at, given.output.find_first_of(" \n\"", at) - at);
}

std::string test_site::node_settings(const std::string& name) const {
    return "node_address: \"" + address(name) + "\"\ndata_centre: dc-1\noperators_listen: \"" +
           address(name + "-operators") + "\"\nkey_value_endpoints: [\"" + address("kv") +
           "\"]\nvm_list_endpoint: \"" + address("vms") + "\"\nspan_file: " + directory_ + "/" +
           name + ".spans\n";
}

void test_site::start_node(const std::string& name, const std::string& program,
                           const std::string& settings) {
    ports_[name] = free_port();
    ports_[name + "-operators"] = free_port();
    const std::string file = write_file(name + ".yaml", node_settings(name) + settings);
    launches_[name] = {program, {"--config", file}};
    restart(name);
}

void test_site::restart(const std::string& name) {
    const auto& how = launches_.at(name);
    processes_.erase(name);
    processes_.emplace(name,
                       child_process(how.program, how.arguments, directory_ + "/" + name + ".log"));
}

bool test_site::wait_ready(const std::string& name) const {
    return wait_for_status(port(name + "-operators"), "/ready", 200);
}

bool test_site::wait_serving() const {
    for (const auto& each : agents_) {
        if (!wait_ready(each)) {
            return false;
        }
    }
    for (const auto& each : gateways_) {
        const std::string known = "\"ready_agents\": " + std::to_string(agents_.size());
        const int status_port = port(each + "-operators");
        const bool serving = wait_ready(each) && wait_for_text(status_port, "/status", known) &&
                             wait_for_text(status_port, "/status", "\"unavailable_services\": {}");
        if (!serving) {
            return false;
        }
    }
    return true;
}

received_answer test_site::post(int gateway, const std::string& path, const std::string& body,
                                http_headers headers) const {
    headers.push_back(bearer(key_));
    headers.push_back({"Content-Type", "application/json"});
    return call(port(numbered("gateway", gateway) + "-callers"), "POST", path, body, headers);
}

finished_program test_site::control(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(), {"--store", address("kv")});
    return run_program("camphorctl", arguments);
}

std::string test_site::logs() const {
    std::string all;
    for (const auto& [name, unused] : launches_) {
        all += "== " + name + "\n" + read_file(directory_ + "/" + name + ".log");
    }
    return all;
}

std::string test_site::spans() const {
    std::string all;
    for (const auto& [name, unused] : launches_) {
        all += read_file(directory_ + "/" + name + ".spans");
    }
    return all;
}

} // namespace camphorgrade::testing
