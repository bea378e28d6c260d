#pragma once

#include <kernel/clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * @file
 * Which software began each stream, known to several gateways, so that a caller can take its stream
 * up at any of them.
 */
namespace camphorgrade::serving {

/** Identifies a stream by the request that brought its first event. */
using stream_key = std::uint64_t;

/** The software that began a stream; what two versions of it write doesn't fit together. */
struct stream_origin {
    std::string service;
    std::string version; /**< Software version of the backend server; empty if it states none. */

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
    friend auto operator<=>(const stream_origin&, const stream_origin&) = default;
};

/** The origin of one stream, as one gateway tells another. */
struct origin_record {
    stream_key stream = 0;
    stream_origin origin;
    duration age{}; /**< Time since the stream began, or was last resumed. */

    friend bool operator==(const origin_record&, const origin_record&) = default;
};

/** Origins that the receiver is to remember. */
struct origin_records {
    std::vector<origin_record> records;

    friend bool operator==(const origin_records&, const origin_records&) = default;
};

/** Streams whose origins the sender needs; answered with origin_records of those that are known. */
struct origin_query {
    std::vector<stream_key> streams;

    friend bool operator==(const origin_query&, const origin_query&) = default;
};

/** A message with its receiver, a gateway's address "ip:port". */
struct origin_message {
    std::string to;
    std::variant<origin_records, origin_query> body;

    friend bool operator==(const origin_message&, const origin_message&) = default;
};

/** Times and limits of stream_origins. */
struct stream_origins_settings {
    /** How long an origin is remembered: longer than a stream and its caller's retries last. */
    duration lifetime{60'000};
    std::size_t max_streams = 32'768;
    /** Other gateways that get each origin. */
    std::size_t copies = 3;
    duration send_interval{100}; /**< Shortest time between two messages with new origins. */
    std::size_t max_records_per_message = 200;
    /** New origins that are sent at a time; the others follow after `send_interval`. */
    std::size_t max_streams_per_send = 256;

    friend bool operator==(const stream_origins_settings&,
                           const stream_origins_settings&) = default;
};

/**
 * The origins of streams that this gateway or others began.
 *
 * Each origin goes to a few gateways that are chosen by rendezvous hashing, and any gateway can ask
 * them for it. Origins are sent only while several versions of their service serve, or may have
 * served, since any server may continue a stream otherwise. Deterministic; performs no I/O. Not
 * thread safe.
 */
class stream_origins {
public:
    explicit stream_origins(stream_origins_settings settings);

    /** The key of a stream whose first event the request `id` brought. */
    static stream_key key_of(std::string_view id);

    /** Sets this gateway's address and the live gateways, itself included. */
    void set_gateways(const std::string& own, const std::vector<std::string>& live);

    /** This gateway begins or resumes a stream. The first origin of a stream remains. */
    void on_begun(stream_key stream, const stream_origin& origin, time_point now);

    /** Remembers what another gateway tells. */
    void on_records(const origin_records& records, time_point now);

    /** Another gateway asks; the answer is among the next messages. */
    void on_query(const std::string& peer, const origin_query& query, time_point now);

    /** The origin of a stream; empty if it isn't known here. */
    std::optional<stream_origin> find(stream_key stream, time_point now) const;

    /** Asks the gateways that may know the origin; false if there is none. */
    bool ask(stream_key stream);

    /** Messages to send now. Origins of streams of services that aren't in `mixed`, those with
        several versions, are kept until they are. */
    std::vector<origin_message> take_messages(const std::set<std::string>& mixed, time_point now);

    /** Origins of streams begun here that take_messages() has shared since the last call. */
    std::vector<origin_record> take_shared();

    std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        stream_origin origin;
        time_point used_at;
    };

    void remember(stream_key stream, const stream_origin& origin, time_point used_at);
    void forget_old(time_point now);
    /** The live gateways but this one, by their rank for the stream; `count` at most. */
    std::vector<std::string> holders(stream_key stream, std::size_t count) const;
    void add_record(const std::string& to, origin_record record);
    /** Adds new origins of services in `mixed` to the messages. */
    void add_new_origins(const std::set<std::string>& mixed, time_point now);

    stream_origins_settings settings_;
    std::string own_;
    std::vector<std::string> live_;
    std::map<stream_key, entry> entries_;
    std::deque<std::pair<time_point, stream_key>> uses_; /**< In the order of remember(). */
    std::deque<stream_key> unsent_;                      /**< Begun here and not yet sent. */
    std::deque<origin_record> shared_;                   /**< Not yet taken by take_shared(). */
    time_point last_sent_;
    std::vector<origin_message> messages_;
};

} // namespace camphorgrade::serving
