#pragma once

#include <placement/adapter_ref.h>

#include <kernel/clock.h>

#include <string>

namespace camphorgrade::placement {

/** A load that an agent would like to start. A value type. */
struct load_want {
    adapter_ref adapter;
    std::string client_account; /**< Of the waiting account that is furthest behind. */
    duration urgency{};    /**< Comparable between agents; grows with waiting time and callers. */
    bool prefetch = false; /**< Nobody waits for it. */

    friend bool operator==(const load_want&, const load_want&) = default;
};

} // namespace camphorgrade::placement
