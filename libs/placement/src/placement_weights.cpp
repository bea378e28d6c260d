#include <placement/placement_weights.h>

namespace camphorgrade::placement {

std::optional<weighed_measure> parse_weighed_measure(std::string_view text) {
    if (text == "load_stalls") {
        return weighed_measure::load_stalls;
    }
    if (text == "fairness") {
        return weighed_measure::fairness;
    }
    return std::nullopt;
}

placement_weights weights_for(weighed_measure first) {
    if (first == weighed_measure::fairness) {
        return {.per_caller = duration{2000}, .per_kilotoken_behind = duration{400}};
    }
    return {};
}

} // namespace camphorgrade::placement
