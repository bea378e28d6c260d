#pragma once

#include <http/http_client.h>
#include <kernel/http_types.h>

#include <optional>
#include <string>

namespace camphorgrade::testing {

/** What a caller got. `whole` is false when the connection failed or the answer was cut. */
struct received_answer {
    bool whole = false;
    int status = 0;
    http_headers headers;
    std::string body;
};

/** One call over loopback, to its end. */
received_answer call(int port, const std::string& method, const std::string& path,
                     const std::string& body = "", const http_headers& headers = {});

/** Header that presents a key. */
http_header bearer(const std::string& key);

/**
 * Asks again and again until a GET answers with `status`; false when it does not within a bounded
 * number of tries. Waits for an event of another process; not a measure of time.
 */
bool wait_for_status(int port, const std::string& path, int status);

/** Asks again until the body of a GET contains `text`. */
bool wait_for_text(int port, const std::string& path, const std::string& text);

} // namespace camphorgrade::testing
