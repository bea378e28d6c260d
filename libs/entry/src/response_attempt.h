#pragma once

#include "liveness_checker.h"
#include "sse_splitter.h"

#include <edge/upstream_pool.h>
#include <serving/request_codec.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::entry {

/** What happens to the body of a response. */
enum class body_mode : std::uint8_t { discard, buffer, stream };

/**
 * Everything that belongs to one attempt and its response. Each attempt gets a new one, so that
 * nothing of an attempt is left for the next. Destroying it cancels the call.
 */
struct response_attempt {
    std::unique_ptr<edge::upstream_call> call;
    edge::upstream_address address;
    serving::server_process process; /**< That the request was sent to. */
    std::string service;
    std::optional<std::uint64_t> resumed_after; /**< Empty if the response starts anew. */
    http_head head;
    edge::upstream_framing framing;
    serving::response_metadata metadata;
    body_mode mode = body_mode::discard;
    bool has_first_byte = false;
    std::string buffered;              /**< In mode `buffer`. */
    std::size_t discarded_bytes = 0;   /**< In mode `discard`. */
    sse_splitter events;               /**< In mode `stream`, like the members below. */
    std::string held_comments;         /**< Comments before the first event of the response. */
    std::uint64_t accepted_events = 0; /**< Without comments. */
    /** Null unless the body has ended with its connection. */
    std::shared_ptr<liveness_check> check;
    std::optional<process_state> state_after_end; /**< What the check found out. */
};

} // namespace camphorgrade::entry
