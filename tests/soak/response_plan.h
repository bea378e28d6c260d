#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>
#include <kernel/random.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::soak {

/** Faults of the responses of a backend server; each share is from 0 to 1. */
struct response_faults {
    double unframed_share = 0;   /**< Responses that end with their connection. */
    double fragmented_share = 0; /**< Responses written in fragments, with pauses. */
    double cut_share = 0;        /**< Responses cut at any byte. */
    double repeated_share = 0;   /**< Responses that are written again later. */
    double early_share = 0;      /**< Long requests answered before their body is read. */
    double wrong_id_share = 0;   /**< Streams that repeat or omit an event. */
};

/** Kind of the faults of responses. */
enum class response_fault_kind : std::uint8_t {
    unframed,
    fragmented,
    cut,
    unframed_cut, /**< Without framing, and cut. */
    repeated,
    early,
    wrong_ids
};

/** The kind with this name, as the command line spells it; none if there is none. */
std::optional<response_fault_kind> find_fault_kind(const std::string& name);

/** Adds the faults of a kind to `faults`. */
void add_faults(response_faults& faults, response_fault_kind kind);

/** When a response is written for the second time. */
enum class repetition_time : std::uint8_t {
    while_idle,
    before_next_response,
    within_next_response /**< The next response has no framing then. */
};

/** How a response is written for the second time. */
struct repetition {
    repetition_time when = repetition_time::while_idle;
    bool has_id = true;
    bool has_framing = true;
};

/** How one response is written. */
struct response_plan {
    bool is_unframed = false;
    bool is_fragmented = false;
    std::optional<std::size_t> cut_after; /**< Bytes of head and body that are written. */
    bool resets_connection = false;       /**< Whether a cut response ends with a reset. */
    std::optional<repetition> repeats;
};

/** Draws how the next response is written. */
response_plan draw_plan(const response_faults& faults, random_source& random);

/** Head of a response, without Content-Length and Transfer-Encoding. */
std::string head_text(const http_head& head, bool has_id = true);

/** One chunk of a chunked body. */
std::string chunk_text(std::string_view bytes);
inline constexpr std::string_view last_chunk_text = "0\r\n\r\n";

} // namespace camphorgrade::soak
