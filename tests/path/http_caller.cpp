#include "http_caller.h"

#include <functional>
#include <thread>

namespace camphorgrade::testing {

namespace {

constexpr int most_tries = 600;
constexpr std::chrono::milliseconds pause_between_tries{50};

class collecting_sink final : public call_sink {
public:
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            answer.status = head->status;
            answer.headers = head->headers;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            answer.body += chunk->bytes;
        } else if (std::holds_alternative<http_end>(progress)) {
            answer.whole = true;
        }
    }

    received_answer answer;
};

bool wait_until(const std::function<bool()>& reached) {
    for (int i = 0; i < most_tries; ++i) {
        if (reached()) {
            return true;
        }
        std::this_thread::sleep_for(pause_between_tries);
    }
    return false;
}

} // namespace

received_answer call(int port, const std::string& method, const std::string& path,
                     const std::string& body, const http_headers& headers) {
    const http_client client;
    collecting_sink sink;
    const auto question = path.find('?');
    http_request request{method, path.substr(0, question), "", headers, body};
    if (question != std::string::npos) {
        request.query = path.substr(question + 1);
    }
    client.call({"127.0.0.1", static_cast<std::uint16_t>(port)}, request, call_limits{}, sink);
    return sink.answer;
}

http_header bearer(const std::string& key) {
    return {"Authorization", "Bearer " + key};
}

bool wait_for_status(int port, const std::string& path, int status) {
    return wait_until([&] { return call(port, "GET", path).status == status; });
}

bool wait_for_text(int port, const std::string& path, const std::string& text) {
    return wait_until([&] { return call(port, "GET", path).body.find(text) != std::string::npos; });
}

} // namespace camphorgrade::testing
