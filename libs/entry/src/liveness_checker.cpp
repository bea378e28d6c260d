#include "liveness_checker.h"

#include <boost/asio/post.hpp>

namespace camphorgrade::entry {

namespace {

// Callers wait for this only when a server ends a response by closing the connection.
constexpr duration answer_timeout{500};

} // namespace

std::string_view to_string(process_state state) noexcept {
    switch (state) {
    case process_state::alive:
        return "alive";
    case process_state::ended:
        return "ended";
    case process_state::unknown:
        return "unknown";
    }
    return "unknown";
}

liveness_checker::liveness_checker(boost::asio::io_context& loop, edge::upstream_pool& pool,
                                   const serving::request_codec& codec)
    : loop_(loop), codec_(codec), calls_(loop, pool) {}

std::shared_ptr<liveness_check> liveness_checker::start(const edge::upstream_address& address,
                                                        const serving::server_process& process,
                                                        const serving::service* service,
                                                        liveness_check::completion_handler done) {
    auto handle = std::make_shared<liveness_check>(std::move(done));
    const std::weak_ptr<liveness_check> pending = handle;
    const auto finish = [pending](process_state state) {
        if (const auto check = pending.lock()) {
            check->done_(state);
        }
    };
    const auto question =
        service == nullptr ? std::nullopt : codec_.encode_liveness_request(process, *service);
    if (!question) {
        boost::asio::post(loop_, [finish] { finish(process_state::unknown); });
        return handle;
    }
    edge::upstream_request request;
    request.method = "GET";
    request.target = question->target;
    request.headers = question->headers;
    request.headers.push_back({"Host", address.endpoint.address().to_string()});
    request.correlation_header = codec_.correlation_header(); // without an id: no kept connection
    calls_.start(
        address, request, answer_timeout,
        [finish, process, codec = &codec_](edge::call_outcome outcome,
                                           const edge::buffered_response& response) {
            if (outcome == edge::call_outcome::answered) {
                const bool is_same = codec->is_answer_of(process, response.head, response.body);
                finish(is_same ? process_state::alive : process_state::ended);
            } else {
                finish(outcome == edge::call_outcome::not_connected ? process_state::ended
                                                                    : process_state::unknown);
            }
        });
    return handle;
}

} // namespace camphorgrade::entry
