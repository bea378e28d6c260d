#include "http_fleet.h"

#include <node/endpoint.h>

#include <chrono>
#include <thread>

namespace camphorgrade::ctl {
namespace {

constexpr int status_ok = 200;
constexpr duration pause_between_asks{200};
constexpr duration call_timeout{2'000};

/** Keeps the status and the body, and whether it came whole. */
class collecting_sink final : public call_sink {
public:
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            status = head->status;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            body += chunk->bytes;
        } else {
            whole = std::holds_alternative<http_end>(progress);
        }
    }

    int status = 0;
    std::string body;
    bool whole = false;
};

} // namespace

std::optional<process_report> http_fleet::ask(const std::string& address) {
    const auto answer = call(address, "GET", "/status");
    return answer ? parse_report(*answer) : std::nullopt;
}

bool http_fleet::withdraw_key(const std::string& address, const std::string& id) {
    return call(address, "POST", "/commands/withdraw-key/" + id).has_value();
}

void http_fleet::pause() {
    std::this_thread::sleep_for(pause_between_asks);
}

std::optional<std::string> http_fleet::call(const std::string& address, const std::string& method,
                                            const std::string& path) const {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return std::nullopt;
    }
    call_limits limits;
    limits.total_timeout = call_timeout;
    collecting_sink answer;
    http_request request{method, path, "", {}, ""};
    if (!token_.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + token_});
    }
    client_.call(*endpoint, request, limits, answer);
    const bool good = answer.whole && answer.status == status_ok;
    return good ? std::optional(answer.body) : std::nullopt;
}

} // namespace camphorgrade::ctl
