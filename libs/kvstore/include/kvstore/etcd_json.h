#pragma once

#include <kernel/kv.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/**
 * @file
 * Codec of the published JSON gateway of etcd v3, in both directions: keys and values in base64,
 * 64-bit numbers as strings, fields at their default left out. Pure and thread safe. Decoders
 * fail with an etcd_json_error and never throw.
 */
namespace camphorgrade {

/** Why a text was not taken. */
enum class etcd_json_error {
    unknown_route, /**< No request of ours goes there. */
    malformed /**< Not JSON, a field of the wrong type, bad base64, or a number out of range. */
};

/** Path that a request is posted to. */
std::string etcd_route(const kv_request& request);

/** Body of a request. */
std::string encode_etcd_request(const kv_request& request);

/**
 * Reads a request, as a store does. A field that is not known is refused, since leaving it out
 * would change what the request means. `route` is the path that it was posted to.
 */
boost::leaf::result<kv_request> decode_etcd_request(std::string_view route, std::string_view body);

/**
 * Body of the answer to `request`. Precondition: `reply` is of the kind that belongs to it, and no
 * kv_failure. For a watch this is one line of the stream.
 */
std::string encode_etcd_reply(const kv_request& request, const kv_reply& reply);

/** First line of a watch's stream: it is in force, at this revision of the store. */
std::string encode_etcd_watch_created(std::int64_t revision);

/**
 * Reads the answer to `request`; fields that are not known are skipped. For a watch, `body` is one
 * line of the stream; the line that says that it was created is a result without events.
 */
boost::leaf::result<kv_reply> decode_etcd_reply(const kv_request& request, std::string_view body);

} // namespace camphorgrade
