#include "operator_endpoints.h"

#include <string_view>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr std::string_view metrics_path = "/metrics";

} // namespace

void gateway_node::operator_endpoints::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    if (exchange->request().target == metrics_path) {
        exchange->answer({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}},
                         node_.metrics_text());
        return;
    }
    // Any other path that a load balancer requests is a readiness check: whether this process
    // accepts new requests.
    exchange->answer({node_.is_ready() ? status_ok : status_unavailable, {}}, {});
}

} // namespace camphorgrade::entry
