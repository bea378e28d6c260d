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
struct request_profile {
    std::string id; /**< As the caller named this attempt of its own. */
    std::string host;
    std::string path;
    std::optional<std::string> key;
    std::optional<duration> deadline; /**< How long the caller waits. */
    std::string model;                /**< Base model; empty for a plain request. */
    std::string adapter;              /**< Empty: the base model itself. */
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    bool states_tokens = false;
    std::vector<prompt_part> prompt_parts;
    std::optional<std::uint64_t> last_event; /**< The caller resumes its stream after it. */

    /** "model/adapter", or the model alone. */
    std::string weights_name() const { return adapter.empty() ? model : model + '/' + adapter; }

    friend bool operator==(const request_profile&, const request_profile&) = default;
};

} // namespace camphorgrade::serving
