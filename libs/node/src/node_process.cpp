#include <node/node_process.h>

#include <node/daemon_options.h>
#include <node/endpoint.h>
#include <node/shutdown_signal.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <zmq.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <random>
#include <utility>

namespace camphorgrade {

namespace {

constexpr std::size_t shortest_token = 16;

/** Milliseconds since the Unix epoch: larger in each later life of a process. */
incarnation new_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count())};
}

std::uint64_t new_seed() {
    std::random_device entropy;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(entropy()) << half) | entropy();
}

const char* fault_name(request_fault fault) {
    switch (fault) {
    case request_fault::malformed:
    case request_fault::bad_path:
    case request_fault::length_required:
    case request_fault::unsupported:
        return "malformed_request";
    case request_fault::body_too_large:
    case request_fault::uri_too_long:
    case request_fault::headers_too_large:
        return "request_too_large";
    case request_fault::timed_out:
        return "request_timeout";
    case request_fault::too_busy:
        return "queue_full";
    }
    return "malformed_request";
}

/** Errors found before a service saw the request, in the form of docs/API.md. */
class json_formatter final : public fault_formatter {
public:
    http_response format(request_fault fault) const override {
        constexpr int retry_after_ms = 1'000;
        nlohmann::json error{{"type", fault_name(fault)},
                             {"message", "the request was refused before it was looked at"},
                             {"run", "not_run"}};
        http_head head{http_status(fault), {{"Content-Type", "application/json"}}};
        if (fault == request_fault::too_busy) {
            error["retry_after_ms"] = retry_after_ms;
            head.headers.push_back({"Retry-After", "1"});
        }
        return {std::move(head), nlohmann::json{{"error", error}}.dump()};
    }
};

std::vector<http_endpoint> endpoints_of(const std::vector<std::string>& addresses) {
    std::vector<http_endpoint> endpoints;
    for (const auto& each : addresses) {
        if (const auto parsed = parse_endpoint(each)) {
            endpoints.push_back(*parsed);
        }
    }
    return endpoints;
}

} // namespace

node_process::node_process(std::string program, const config::node_settings& settings)
    : program_(std::move(program)), settings_(settings),
      kernel_(node_id{settings.node_address}, new_incarnation(), new_seed()),
      log_(settings.node_address, settings.level),
      spans_(settings.span_file.value_or(""), program_),
      formatter_(std::make_unique<json_formatter>()),
      store_(std::make_unique<etcd_client>(endpoints_of(settings.key_value_endpoints))),
      store_port_(std::make_unique<kv_port>(inbox_, *store_)) {}

node_process::~node_process() {
    // Servers first: their threads use the ports.
    for (auto& each : servers_) {
        if (each.http != nullptr) {
            each.http->stop();
        }
    }
    store_->stop();
}

bool node_process::serve(const std::string& address, const std::string& service,
                         std::uint64_t number, http_server_settings settings) {
    const auto listen = parse_endpoint(address);
    if (!listen) {
        return false;
    }
    settings.address = listen->host;
    settings.port = listen->port;
    server added;
    added.port = std::make_unique<caller_port>(inbox_, service, number);
    const bool started = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(added.http, http_server::start(settings, *added.port, *formatter_));
            return true;
        },
        [&](http_server_error why) {
            log_.write({log_level::error,
                        "cannot_serve",
                        {{"address", address},
                         {"reason", why == http_server_error::cannot_listen ? "cannot_listen"
                                                                            : "bad_certificate"}}});
            return false;
        },
        [] { return false; });
    servers_.push_back(std::move(added));
    return started;
}

bool node_process::read_credentials(std::string& credential) {
    if (settings_.message_keys) {
        // Better no start than messages that only seem to be authenticated.
        log_.write({log_level::error, "message_keys_not_supported", {}});
        return false;
    }
    if (!settings_.operator_token_file) {
        return true;
    }
    std::ifstream in(*settings_.operator_token_file);
    std::getline(in, credential);
    if (credential.size() < shortest_token) {
        credential.clear();
        log_.write({log_level::error, "operator_token_unreadable_or_short", {}});
        return false;
    }
    return true;
}

int node_process::run() {
    try {
        messages_ = std::make_unique<message_port>(kernel_.self(), curve_keys{});
    } catch (const zmq::error_t&) {
        log_.write({log_level::error,
                    "cannot_bind_message_address",
                    {{"address", settings_.node_address}}});
        return exit_failed;
    }
    event_loop loop(kernel_, inbox_, *messages_, clock_);
    loop.add(*messages_);
    loop.add(*store_port_);
    for (auto& each : servers_) {
        loop.add(*each.port);
    }
    for (port* each : extra_ports_) {
        loop.add(*each);
    }
    loop.add(log_);
    loop.add(spans_);
    const shutdown_signal on_signal(loop);
    log_.write({log_level::info, "started", {{"program", program_}}});
    loop.run();
    log_.write({log_level::info, "ended", {}});
    return exit_ok;
}

} // namespace camphorgrade
