#pragma once

#include <kernel/kv.h>

namespace camphorgrade::config {

/**
 * Reaches the key-value service and waits for its answer; for operators' programs, which have no
 * kernel.
 */
class kv_access {
public:
    virtual ~kv_access() = default;

    /** Carries out one request. Blocks until it is answered or given up. */
    virtual kv_reply execute(const kv_request& request) = 0;
};

} // namespace camphorgrade::config
