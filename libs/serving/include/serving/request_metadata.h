#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** A part of a prompt that several requests may share. */
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/** What a caller states about its request, decoded from the target and the headers. A value
    type. */
struct request_metadata {
    std::string id; /**< The id that the caller gave this attempt. */
    std::string host;
    std::string path;
    std::optional<std::string> key;
    std::optional<duration> deadline; /**< Time for which the caller waits for the response. */
    std::string model;                /**< Base model; empty for a request to a service without
                                           engines. */
    std::string adapter;              /**< Empty: the request runs on the base model itself. */
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    bool has_token_counts = false;
    std::vector<prompt_part> prompt_parts;
    std::optional<std::uint64_t> last_event_id; /**< The caller resumes its stream after this
                                                     event. */
    std::string resumed_request_id; /**< The request that brought the first event of the stream that
                                         the caller resumes. */

    /** "model/adapter", or the model alone. */
    std::string weights_name() const { return adapter.empty() ? model : model + '/' + adapter; }

    friend bool operator==(const request_metadata&, const request_metadata&) = default;
};

/** What the head of a backend server's response states about the response and the server. A
    value type. */
struct response_metadata {
    /** The response carries the backend server's seal, which marks its own responses to requests
        that it accepted. */
    bool is_sealed = false;
    bool has_not_run = false; /**< The backend server states that it did not run the request. */
    bool is_encoded = false;  /**< The response has a Content-Encoding, so the body isn't the one
                                 that the backend server produced. */
    bool is_shutting_down = false;        /**< The backend server accepts no new requests. */
    std::optional<duration> retry_after;  /**< The backend server refused the request and accepts
                                               none for this duration. */
    bool has_invalid_retry_after = false; /**< The stated Retry-After can't be parsed. */
    /** Requests per second that the backend server accepts from all gateways together; empty when
        it states no limit. */
    std::optional<double> request_limit;
    bool has_invalid_request_limit = false; /**< The stated limit can't be parsed. */

    friend bool operator==(const response_metadata&, const response_metadata&) = default;
};

} // namespace camphorgrade::serving
