#include <limits/demand_meter.h>

#include <limits/token_units.h>

#include <algorithm>

namespace camphorgrade::limits {

namespace {

constexpr duration memory{10'000};
constexpr std::int64_t ms_per_s = 1'000;

micro_tokens faded(micro_tokens sum, duration elapsed) {
    const auto left = std::clamp(memory - elapsed, duration::zero(), memory);
    return scale_down(sum, left.count(), memory.count());
}

} // namespace

void demand_meter::add(micro_tokens cost, time_point now) {
    sum_ = faded(sum_, now - last_) + cost;
    last_ = std::max(last_, now);
}

std::int64_t demand_meter::per_second(time_point now) const {
    return scale_down(faded(sum_, now - last_), ms_per_s, memory.count());
}

} // namespace camphorgrade::limits
