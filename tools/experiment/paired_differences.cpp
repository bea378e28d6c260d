#include "paired_differences.h"

#include <kernel/check.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/math/distributions/students_t.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace camphorgrade::experiment {

namespace {

namespace acc = boost::accumulators;

using running = acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>>;

struct running_measure {
    std::string measure;
    std::size_t pairs = 0;
    running before;
    running after;
    running difference;
};

running_measure& measure_of(std::vector<running_measure>& all, const std::string& name) {
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const running_measure& each) { return each.measure == name; });
    if (found != all.end()) {
        return *found;
    }
    all.push_back({name, 0, {}, {}, {}});
    return all.back();
}

double half_width(const running_measure& of, double confidence) {
    const auto pairs = static_cast<double>(of.pairs);
    const auto sample_variance = acc::variance(of.difference) * pairs / (pairs - 1);
    const boost::math::students_t spread(pairs - 1);
    const auto t = boost::math::quantile(spread, (1 + confidence) / 2);
    return t * std::sqrt(sample_variance / pairs);
}

} // namespace

bool paired_difference::is_beyond_noise() const noexcept {
    return std::abs(difference) > half_width;
}

std::variant<std::vector<paired_value>, paired_fault> read_paired(std::istream& in) {
    std::vector<paired_value> out;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.find_first_not_of(" \t") == std::string::npos) {
            continue;
        }
        std::istringstream fields(line);
        paired_value value;
        std::string more;
        fields >> value.measure >> value.pair >> value.before >> value.after;
        if (!fields || fields >> more) {
            return paired_fault{number, "expected MEASURE PAIR BEFORE AFTER"};
        }
        out.push_back(std::move(value));
    }
    return out;
}

std::vector<paired_difference> paired_differences(const std::vector<paired_value>& values,
                                                  double confidence) {
    CAMPHOR_PRECONDITION(confidence > 0 && confidence < 1);
    std::vector<running_measure> measures;
    for (const auto& each : values) {
        auto& of = measure_of(measures, each.measure);
        ++of.pairs;
        of.before(each.before);
        of.after(each.after);
        of.difference(each.after - each.before);
    }
    std::vector<paired_difference> out;
    for (const auto& each : measures) {
        if (each.pairs >= 2) {
            out.push_back({each.measure, each.pairs, acc::mean(each.before), acc::mean(each.after),
                           acc::mean(each.difference), half_width(each, confidence)});
        }
    }
    return out;
}

} // namespace camphorgrade::experiment
