#pragma once

#include <kernel/ids.h>

#include <cstdint>

namespace camphorgrade::delivery {

/** Names an attempt in the whole fleet. A value type. */
struct attempt_id {
    node_id gateway;
    incarnation gateway_life;
    request_id request;
    std::uint32_t number = 0; /**< Counts from 1 within the request. */

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

} // namespace camphorgrade::delivery
