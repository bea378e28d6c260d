#pragma once

#include <serving/store_position.h>

#include <set>
#include <string>

namespace camphorgrade::serving {

/**
 * The data centres that operators have evacuated, as the store held them at `position`. Of two
 * states the one with the later position holds. A value type.
 */
struct evacuation_state {
    std::set<std::string> data_centres;
    store_position position;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;
};

} // namespace camphorgrade::serving
