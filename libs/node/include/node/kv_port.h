#pragma once

#include <kvstore/etcd_client.h>
#include <node/inbox.h>
#include <node/port.h>
#include <node/worker_pool.h>

#include <cstddef>

namespace camphorgrade {

/**
 * Carries out call_kv effects through an etcd_client on worker threads; watches, which wait long,
 * have threads of their own. carry_out() is the loop's.
 */
class kv_port final : public port {
public:
    /** Both references outlive the port. */
    kv_port(inbox& events, const etcd_client& client);

    bool carry_out(const effect& wanted) override;

private:
    inbox& inbox_;
    const etcd_client& client_;
    worker_pool calls_;
    worker_pool watches_;
};

} // namespace camphorgrade
