#pragma once

#include <kernel/http_types.h>
#include <serving/dispatcher.h>

#include <string>

namespace camphorgrade::entry {

/** An answer of the system's own. */
struct refusal_response {
    http_head head;
    std::string body;

    friend bool operator==(const refusal_response&, const refusal_response&) = default;
};

/**
 * Status, Retry-After and body for the end of a request. 429 and 503 are used only where the
 * request provably has not run and will not; 502 and 504 say nothing of that. Pure.
 */
refusal_response make_refusal_response(const serving::end_request& end);

} // namespace camphorgrade::entry
