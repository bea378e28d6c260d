#pragma once

#include <http/response_writer.h>
#include <kernel/ids.h>

#include <cstdint>
#include <memory>

namespace camphorgrade {

/** Numbers a request and its answer within one http_server. */
using exchange_id = strong_id<struct exchange_id_tag, std::uint64_t>;

/** Why a caller will not get the rest of its answer. */
enum class caller_loss {
    closed,   /**< The caller closed its connection, or the connection broke. */
    too_slow, /**< The caller did not read what was written, beyond the bound. */
    stopping  /**< The server was stopped. */
};

/** Takes the requests of an http_server. Both methods are called on its threads, concurrently. */
class request_handler {
public:
    virtual ~request_handler() = default;

    /** A complete request. Must not block; `writer` may be kept and used from another thread. */
    virtual void on_request(exchange_id id, http_request request,
                            std::unique_ptr<response_writer> writer) = 0;

    /**
     * The caller of `id` is lost before its answer was delivered whole. Called at most once for
     * an exchange, after on_request() has returned; never after an answer that was delivered.
     */
    virtual void on_caller_lost(exchange_id id, caller_loss why) = 0;
};

} // namespace camphorgrade
