#include <telemetry/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace camphorgrade {

namespace {

namespace acc = boost::accumulators;

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::p_square_quantile>>;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

std::string escape_label_value(const std::string& value) {
    std::string out;
    for (const char c : value) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string format_series(const std::string& name, const metric_labels& labels) {
    if (labels.empty()) {
        return name;
    }
    std::string out = name + "{";
    for (const auto& [label, value] : labels) {
        if (out.back() != '{') {
            out += ',';
        }
        out += label + "=\"" + escape_label_value(value) + "\"";
    }
    return out + "}";
}

/** Writes the TYPE line once for each metric name. */
class type_line_writer {
public:
    explicit type_line_writer(std::ostream& out) : out_(out) {}

    void write_once(const std::string& name, const char* type) {
        if (name != last_) {
            out_ << "# TYPE " << name << ' ' << type << '\n';
            last_ = name;
        }
    }

private:
    std::ostream& out_;
    std::string last_;
};

} // namespace

class metrics::distribution {
public:
    distribution()
        : estimators_{accumulator(acc::quantile_probability = quantiles[0]),
                      accumulator(acc::quantile_probability = quantiles[1]),
                      accumulator(acc::quantile_probability = quantiles[2])} {}

    void add(double sample) {
        for (auto& each : estimators_) {
            each(sample);
        }
    }

    void write_to(std::ostream& out, const metric_key& key) const {
        for (std::size_t i = 0; i < quantiles.size(); ++i) {
            metric_labels labels = key.labels;
            std::ostringstream text;
            text << quantiles[i];
            labels.emplace_back("quantile", text.str());
            out << format_series(key.name, labels) << ' ' << acc::p_square_quantile(estimators_[i])
                << '\n';
        }
        out << format_series(key.name + "_sum", key.labels) << ' ' << acc::sum(estimators_[0])
            << '\n';
        out << format_series(key.name + "_count", key.labels) << ' ' << acc::count(estimators_[0])
            << '\n';
    }

private:
    std::array<accumulator, quantiles.size()> estimators_;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(const std::string& metric, const metric_labels& labels, std::uint64_t amount) {
    counters_[{metric, labels}] += amount;
}

void metrics::set(const std::string& metric, const metric_labels& labels, double value) {
    gauges_[{metric, labels}] = value;
}

void metrics::observe(const std::string& metric, const metric_labels& labels, double sample) {
    auto& found = distributions_[{metric, labels}];
    if (found == nullptr) {
        found = std::make_unique<distribution>();
    }
    found->add(sample);
}

std::uint64_t metrics::counter_value(const std::string& metric, const metric_labels& labels) const {
    const auto found = counters_.find({metric, labels});
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics::prometheus_text() const {
    std::ostringstream out;
    type_line_writer types(out);
    for (const auto& [key, value] : counters_) {
        types.write_once(key.name, "counter");
        out << format_series(key.name, key.labels) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : gauges_) {
        types.write_once(key.name, "gauge");
        out << format_series(key.name, key.labels) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : distributions_) {
        types.write_once(key.name, "summary");
        value->write_to(out, key);
    }
    return out.str();
}

} // namespace camphorgrade
