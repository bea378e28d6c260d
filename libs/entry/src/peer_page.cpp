#include "peer_page.h"

#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;

} // namespace

void fetch_peer_page(edge::buffered_calls& calls, const std::string& peer, std::uint16_t port,
                     const char* path, duration timeout, page_callback take) {
    const edge::upstream_address address{
        {boost::asio::ip::make_address(peer.substr(0, peer.rfind(':'))), port}, peer};
    edge::upstream_request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", "peer"}};
    calls.start(
        address, request, timeout,
        [take = std::move(take)](edge::call_outcome how, const edge::buffered_response& answer) {
            const bool is_page =
                how == edge::call_outcome::answered && answer.head.status == status_ok;
            take(is_page ? std::optional(answer.body) : std::nullopt);
        });
}

} // namespace camphorgrade::entry
