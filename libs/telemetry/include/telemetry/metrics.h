#pragma once

#include <kernel/service.h>

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade {

/** Label names and values of a metric, such as {{"reason", "over_rate"}}. */
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/** Identifies one time series. A value type. */
struct metric_key {
    std::string name;
    metric_labels labels;

    friend bool operator==(const metric_key&, const metric_key&) = default;
    friend auto operator<=>(const metric_key&, const metric_key&) = default;
};

/**
 * Metrics of one node, registered with the kernel as the service "metrics".
 *
 * Names carry their unit as a suffix, following the Prometheus convention: `_total`, `_ms`,
 * `_tokens`. Not thread safe: used from the thread that drives the kernel.
 *
 * @code
 * kernel.find<metrics>("metrics").count("camphor_requests_total", {{"result", "whole"}});
 * @endcode
 */
class metrics final : public service {
public:
    metrics();
    ~metrics() override;

    std::string_view name() const noexcept override { return "metrics"; }

    /** Increments a counter. */
    void count(const std::string& metric, const metric_labels& labels = {},
               std::uint64_t amount = 1);

    /** Sets a gauge. */
    void set(const std::string& metric, const metric_labels& labels, double value);

    /** Adds a sample to a distribution whose median, p95 and p99 are estimated online. */
    void observe(const std::string& metric, const metric_labels& labels, double sample);

    /** Current value of a counter; 0 if it was never incremented. */
    std::uint64_t counter_value(const std::string& metric, const metric_labels& labels = {}) const;

    /** All series in the Prometheus text format. */
    std::string prometheus_text() const;

private:
    class distribution;

    std::map<metric_key, std::uint64_t> counters_;
    std::map<metric_key, double> gauges_;
    std::map<metric_key, std::unique_ptr<distribution>> distributions_;
};

} // namespace camphorgrade
