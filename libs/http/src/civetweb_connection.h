#pragma once

#include <http/http_server_settings.h>
#include <http/request_fault.h>
#include <kernel/http_types.h>

#include <boost/leaf/result.hpp>

#include <string>

struct mg_connection;

namespace camphorgrade {

/** What one request says about the way its answer has to be sent. */
struct answer_framing {
    bool is_http_10 = false;
    bool without_body = false; /**< The method was HEAD. */
    bool close = false;        /**< The connection ends after this answer. */
};

/** Reads and checks the request that CivetWeb has parsed, body and all; fails with request_fault.
 */
boost::leaf::result<http_request> read_request(mg_connection* connection,
                                               const http_server_settings& settings);

/** How the answer to the request at hand is to be framed. */
answer_framing framing_of(const mg_connection* connection);

/** Sends a whole answer; false when the connection broke. */
bool send_whole(mg_connection* connection, const http_response& response,
                const answer_framing& framing);

/** Sends the head of a chunked answer; false when the connection broke. */
bool send_stream_head(mg_connection* connection, const http_head& head,
                      const answer_framing& framing);

/** Sends one chunk; an empty one is skipped. False when the connection broke. */
bool send_stream_chunk(mg_connection* connection, const std::string& bytes);

/** Sends the last, empty chunk; false when the connection broke. */
bool send_stream_end(mg_connection* connection);

} // namespace camphorgrade
