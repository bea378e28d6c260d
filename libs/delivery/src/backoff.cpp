#include <delivery/backoff.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::delivery {

duration draw_backoff(const backoff_settings& settings, unsigned failures, random_source& random) {
    CAMPHOR_PRECONDITION(settings.base > duration{0});
    CAMPHOR_PRECONDITION(settings.most >= settings.base);
    duration ceiling = settings.base;
    for (unsigned i = 0; i < failures && ceiling < settings.most; ++i) {
        ceiling *= 2;
    }
    ceiling = std::min(ceiling, settings.most);
    const auto bound = static_cast<std::uint64_t>(ceiling.count()) + 1;
    return duration{static_cast<duration::rep>(random.below(bound))};
}

} // namespace camphorgrade::delivery
