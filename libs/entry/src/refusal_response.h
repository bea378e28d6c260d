#pragma once

#include <kernel/http_types.h>
#include <serving/dispatcher.h>

#include <string>

namespace camphorgrade::entry {

/** An HTTP response that the gateway itself generates. */
struct refusal_response {
    http_head head;
    std::string body;

    friend bool operator==(const refusal_response&, const refusal_response&) = default;
};

/**
 * Creates the response to a request that ended without a backend server's response: the status, a
 * JSON body and, if the caller may retry after some time, Retry-After in fractional seconds.
 * 429 and 503 are used only if the request provably has not run and will not run; after 502 or 504
 * it may have run. Pure.
 */
refusal_response make_refusal_response(const serving::end_request& end);

} // namespace camphorgrade::entry
