#pragma once

#include <http/http_client.h>
#include <kernel/kv.h>

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <vector>

namespace camphorgrade {

/** Bounds of an etcd_client. */
struct etcd_client_settings {
    duration connect_timeout{500};
    duration request_timeout{3'000};

    /** How long a watch waits before it answers that nothing has changed. */
    duration watch_wait{30'000};

    http_client_settings http;

    friend bool operator==(const etcd_client_settings&, const etcd_client_settings&) = default;
};

/**
 * Carries out requests against the key-value service over the JSON gateway of etcd v3.
 *
 * Thread safe. A request goes to one endpoint after another for as long as it provably was not
 * applied, starting with the one that last answered; once it may have been, it is not sent again.
 *
 * @code
 * const camphorgrade::etcd_client client({{"10.0.0.7", 2379}});
 * const camphorgrade::kv_reply reply = client.execute(camphorgrade::kv_range{"head", ""});
 * @endcode
 */
class etcd_client {
public:
    explicit etcd_client(std::vector<http_endpoint> endpoints, etcd_client_settings settings = {});

    /**
     * Blocks for the reply. kv_failure not_applied only when no endpoint was reached, or the store
     * refused the request; without any endpoint too. A watch blocks for the first changes or for
     * `watch_wait`; then it comes back without events, at the revision before the one to watch on
     * from.
     */
    kv_reply execute(const kv_request& request) const;

    /** Ends all requests that are under way, and refuses those that come later. Idempotent. */
    void stop();

private:
    kv_reply execute_at(const http_endpoint& endpoint, const kv_request& request) const;
    bool call(const http_endpoint& endpoint, const kv_request& request, duration limit,
              call_sink& sink, call_cancellation& cancellation) const;

    const std::vector<http_endpoint> endpoints_;
    const etcd_client_settings settings_;
    const http_client client_;
    mutable std::atomic<std::size_t> preferred_{0};
    mutable std::mutex mutex_;
    mutable std::set<call_cancellation*> under_way_;
    bool is_stopped_ = false;
};

} // namespace camphorgrade
