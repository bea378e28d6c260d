#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>
#include <serving/backend_server.h>
#include <serving/request_metadata.h>
#include <serving/service_catalogue.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::serving {

/** What a gateway adds to a request for one attempt. A value type. */
struct attempt_metadata {
    std::string backend_id; /**< Process that is to run the request; all others refuse it. */
    duration time_left{};   /**< Time until the request's deadline. */
    std::string account;    /**< Empty on public routes. */
    int urgency = 0;        /**< 0 is the most urgent. */
    std::uint64_t weights_version = 0;         /**< Version of the adapter's weights; 0: any. */
    std::optional<std::uint64_t> resume_after; /**< The stream continues after this event. */

    friend bool operator==(const attempt_metadata&, const attempt_metadata&) = default;
};

/** A GET request that a server process answers as long as it lives. A value type. */
struct liveness_request {
    std::string target;
    http_headers headers; /**< Without Host. */

    friend bool operator==(const liveness_request&, const liveness_request&) = default;
};

/** Decodes the headers of requests and responses, and encodes the request headers of an attempt.
    Thread safe. */
class request_codec {
public:
    request_codec() = default;
    request_codec(const request_codec&) = delete;
    request_codec& operator=(const request_codec&) = delete;
    virtual ~request_codec() = default;

    /** Decodes a caller's request. Values that are missing or invalid are left empty. */
    virtual request_metadata decode(const std::string& target,
                                    const http_headers& headers) const = 0;

    /** Headers to send to a backend server: the caller's headers without those reserved for the
        gateway, plus those of the attempt. */
    virtual http_headers encode(const http_headers& from_caller,
                                const attempt_metadata& attempt) const = 0;

    /** Decodes the head of a backend server's response. */
    virtual response_metadata decode_response(const http_head& head) const = 0;

    /** The request by which to find out whether `process`, a server of `of`, is alive; empty if
        there is none. It runs nothing. */
    virtual std::optional<liveness_request> encode_liveness_request(const server_process& process,
                                                                    const service& of) const = 0;

    /** Whether `process`, and no other at its address, sent this response to its
        liveness_request. */
    virtual bool is_answer_of(const server_process& process, const http_head& head,
                              std::string_view body) const = 0;

    /** Name of the header by which a response identifies its request. */
    virtual std::string correlation_header() const = 0;
};

} // namespace camphorgrade::serving
