#include <node/operator_service.h>

#include <kernel/micro_kernel.h>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <utility>

namespace camphorgrade {

namespace {

constexpr const char* text_type = "text/plain; charset=utf-8";
constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char* json_type = "application/json";
constexpr std::string_view commands_prefix = "/commands/";

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

operator_service::operator_service(std::string credential) : credential_(std::move(credential)) {}
operator_service::~operator_service() = default;

void operator_service::attach(micro_kernel& kernel) {
    metrics_ = &kernel.find<metrics>("metrics");
}

void operator_service::add_section(const std::string& title, section describe) {
    sections_[title] = std::move(describe);
}

void operator_service::add_command(const std::string& title, command run) {
    commands_[title] = std::move(run);
}

void operator_service::on_caller(const caller_arrived& arrived, step& now) {
    const auto& request = arrived.content;
    if (request.method == "POST" && request.path.starts_with(commands_prefix)) {
        run_command(arrived, now);
    } else if (request.method != "GET") {
        answer(arrived.request, status_not_found, text_type, "no such command\n", now);
    } else if (request.path == "/healthz") {
        answer(arrived.request, status_ok, text_type, "ok\n", now);
    } else if (request.path == "/ready") {
        const bool ready = !ready_ || ready_(now.time());
        answer(arrived.request, ready ? status_ok : status_unavailable, text_type,
               ready ? "ready\n" : "not ready\n", now);
    } else if (request.path == "/metrics") {
        for (const auto& publish : gauges_) {
            publish(*metrics_, now.time());
        }
        answer(arrived.request, status_ok, metrics_type, metrics_->prometheus_text(), now);
    } else if (request.path == "/status") {
        answer(arrived.request, status_ok, json_type, status_json(now.time()), now);
    } else {
        answer(arrived.request, status_not_found, text_type, "no such page\n", now);
    }
}

bool operator_service::authorized(const http_headers& headers) const {
    const std::string expected = "Bearer " + credential_;
    const std::string given = find_header(headers, "Authorization").value_or("");
    return !credential_.empty() && given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void operator_service::run_command(const caller_arrived& arrived, step& now) {
    if (!authorized(arrived.content.headers)) {
        metrics_->count("camphor_refused_commands_total");
        answer(arrived.request, status_unauthorized, text_type, "an operator's token is needed\n",
               now);
        return;
    }
    const std::string rest = arrived.content.path.substr(commands_prefix.size());
    const auto slash = rest.find('/');
    const auto found = commands_.find(rest.substr(0, slash));
    const std::string argument = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const bool done = found != commands_.end() && found->second(argument, now);
    answer(arrived.request, done ? status_ok : status_not_found, text_type,
           done ? "done\n" : "nothing to do\n", now);
}

void operator_service::answer(request_id request, int status, const std::string& type,
                              const std::string& body, step& now) {
    http_head head{status, {{"Content-Type", type}}};
    head.headers.push_back({"Content-Length", std::to_string(body.size())});
    now.emit(answer_caller{request, std::move(head)});
    now.emit(answer_caller{request, http_chunk{body}});
    now.emit(answer_caller{request, http_end{}});
}

std::string operator_service::status_json(time_point now) const {
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [title, describe] : sections_) {
        all[title] = describe(now);
    }
    return all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace camphorgrade
