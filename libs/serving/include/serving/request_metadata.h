#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** A part of a prompt that requests may share. */
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/** What a caller's request says of itself, decoded from its headers. A value type. */
struct request_metadata {
    std::string id; /**< As the caller named this attempt of its own. */
    std::string host;
    std::string path;
    std::optional<std::string> key;
    std::optional<duration> deadline; /**< How long the caller waits. */
    std::string model;                /**< Base model; empty for a plain request. */
    std::string adapter;              /**< Empty: the base model itself. */
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    bool has_token_counts = false;
    std::vector<prompt_part> prompt_parts;
    std::optional<std::uint64_t> last_event_id; /**< The caller resumes its stream after it. */

    /** "model/adapter", or the model alone. */
    std::string weights_name() const { return adapter.empty() ? model : model + '/' + adapter; }

    friend bool operator==(const request_metadata&, const request_metadata&) = default;
};

/** What the head of a backend server's answer says of the answer and of the server. */
struct response_metadata {
    bool is_sealed = false;   /**< It is the backend server's own answer to a request it took. */
    bool has_not_run = false; /**< The backend server states that it did not run the request. */
    bool is_encoded = false;  /**< Its body isn't what the backend server made. */
    bool is_shutting_down =
        false; /**< The backend server is shutting down: it wants nothing new. */
    std::optional<duration> retry_after;  /**< It turned the request away and wants nothing for so
                                               long. */
    bool has_invalid_retry_after = false; /**< It said a time that can't be read. */

    friend bool operator==(const response_metadata&, const response_metadata&) = default;
};

} // namespace camphorgrade::serving
