#include <serving/load_time_estimator.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double min_load_ms = 5;

} // namespace

load_time_estimator::load_time_estimator(load_time_estimator_settings settings)
    : settings_(settings), load_ms_(static_cast<double>(settings.initial_load_time.count())),
      full_speed_loads_(settings.full_speed_loads) {}

double load_time_estimator::expected_ms(double loads) const {
    return load_ms_ * std::max(1.0, loads / full_speed_loads_);
}

duration load_time_estimator::estimate(std::uint32_t loads_in_progress) const {
    return duration{std::llround(expected_ms(static_cast<double>(loads_in_progress) + 1))};
}

void load_time_estimator::on_load(duration load_time, std::uint32_t loads_in_progress) {
    const double measured_ms = std::max(static_cast<double>(load_time.count()), min_load_ms);
    const double loads = std::max<double>(loads_in_progress, 1);
    if (loads * 2 <= full_speed_loads_) {
        load_ms_ += settings_.load_time_weight * (measured_ms - load_ms_);
        return;
    }
    const double expected = expected_ms(loads);
    // Number of parallel loads at full speed that would explain the measured time.
    const double explaining_loads = loads * load_ms_ / measured_ms;
    if (measured_ms < expected * (1 - settings_.tolerance)) {
        full_speed_loads_ +=
            settings_.increase_weight * std::max(0.0, explaining_loads - full_speed_loads_);
    } else if (measured_ms > expected * (1 + settings_.tolerance)) {
        full_speed_loads_ += settings_.decrease_weight * (explaining_loads - full_speed_loads_);
    }
    full_speed_loads_ = std::max(full_speed_loads_, 1.0);
}

} // namespace camphorgrade::serving
