#include <standins/standin_host.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace camphorgrade::standins {

namespace {

constexpr std::size_t max_connections = 256;
constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;

class json_error_formatter final : public fault_formatter {
public:
    http_response format(request_fault fault) const override {
        return json_response(http_status(fault), {{"error", "request refused"}});
    }
};

const json_error_formatter error_formatter;

} // namespace

standin_host::standin_host(standin_logic& logic) : logic_(logic) {}

standin_host::~standin_host() {
    stop();
}

bool standin_host::start(const std::string& address, std::uint16_t port) {
    http_server_settings settings;
    settings.address = address;
    settings.port = port;
    settings.max_connections = max_connections;
    settings.max_body_bytes = max_body_bytes;
    server_ = boost::leaf::try_handle_all(
        [&] { return http_server::start(settings, *this, error_formatter); },
        [] { return std::unique_ptr<http_server>(); });
    return server_ != nullptr;
}

void standin_host::stop() {
    if (server_ != nullptr) {
        server_->stop();
    }
    loop_.stop();
}

std::uint16_t standin_host::port() const {
    return server_->bound_port();
}

void standin_host::on_request(exchange_id id, http_request request,
                              std::unique_ptr<response_writer> writer) {
    // A task must be copyable, but the response_writer in the call is not.
    const auto call =
        std::make_shared<standin_call>(standin_call{id, std::move(request), std::move(writer)});
    loop_.post([this, call] { logic_.handle(std::move(*call)); });
}

void standin_host::on_caller_lost(exchange_id id, caller_loss /*why*/) {
    loop_.post([this, id] { logic_.on_caller_lost(id); });
}

http_response json_response(int status, const nlohmann::json& body) {
    return {{status, {{"Content-Type", "application/json"}}}, body.dump()};
}

nlohmann::json json_body(const http_request& request) {
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

std::size_t unsigned_field(const nlohmann::json& object, const char* name, std::size_t fallback) {
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::size_t>()
                                                                : fallback;
}

} // namespace camphorgrade::standins
