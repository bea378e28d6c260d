#include "peer_page.h"

#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;

} // namespace

void fetch_peer_page(edge::buffered_calls& calls, const std::string& peer, std::uint16_t port,
                     const char* path, duration timeout, page_callback callback) {
    const edge::upstream_address address{
        {boost::asio::ip::make_address(peer.substr(0, peer.rfind(':'))), port}, peer};
    edge::upstream_request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", "peer"}};
    calls.start(address, request, timeout,
                [callback = std::move(callback)](edge::call_outcome outcome,
                                                 const edge::buffered_response& response) {
                    const bool is_success = outcome == edge::call_outcome::answered &&
                                            response.head.status == status_ok &&
                                            !response.body.empty();
                    callback(is_success ? std::optional(response.body) : std::nullopt);
                });
}

} // namespace camphorgrade::entry
