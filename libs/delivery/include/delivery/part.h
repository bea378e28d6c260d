#pragma once

#include <delivery/attempt_id.h>
#include <delivery/refusal.h>
#include <kernel/http_types.h>

#include <wire/forward.pb.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <variant>

/**
 * @file
 * The numbered parts in which an agent tells a gateway how an attempt goes. All are value types.
 */
namespace camphorgrade::delivery {

/** The attempt waits in the agent's queue. */
struct part_accepted {
    friend bool operator==(const part_accepted&, const part_accepted&) = default;
};

/** Status and headers; the request has started, or did under an earlier attempt (`recorded`). */
struct part_head {
    http_head head;
    bool recorded = false;

    friend bool operator==(const part_head&, const part_head&) = default;
};

/** Bytes of the body. */
struct part_chunk {
    std::string bytes;

    friend bool operator==(const part_chunk&, const part_chunk&) = default;
};

/** The answer is whole. */
struct part_end {
    std::uint64_t generated_tokens = 0;

    friend bool operator==(const part_end&, const part_end&) = default;
};

/** The attempt provably did not run and will not. */
struct part_refused {
    refusal_type type = refusal_type::leaving;
    duration retry_after{};

    friend bool operator==(const part_refused&, const part_refused&) = default;
};

/** The attempt started and its answer is not whole. */
struct part_broken {
    bool death = false; /**< The backend server died under it. */

    friend bool operator==(const part_broken&, const part_broken&) = default;
};

/** This attempt does not run, but the request may have run before. */
struct part_unknown {
    duration retry_after{};

    friend bool operator==(const part_unknown&, const part_unknown&) = default;
};

using part = std::variant<part_accepted, part_head, part_chunk, part_end, part_refused, part_broken,
                          part_unknown>;

/** Whether nothing follows this part. Thread safe. */
bool is_last(const part& any) noexcept;

/** One part with its place in its attempt; `sequence` counts from 0. */
struct numbered_part {
    std::uint64_t sequence = 0;
    part content;

    friend bool operator==(const numbered_part&, const numbered_part&) = default;
};

/** A message that is not a valid part. */
enum class part_error { missing_kind, unknown_refusal };

/** The message for a part of an attempt. Thread safe. */
wire::attempt_part to_wire(const attempt_id& attempt, const numbered_part& numbered);

/**
 * The part in a message; fails with part_error. A gateway must drop messages whose
 * gateway_incarnation is not its own life: they answer an earlier life's requests. Thread safe.
 */
boost::leaf::result<numbered_part> from_wire(const wire::attempt_part& received);

} // namespace camphorgrade::delivery
