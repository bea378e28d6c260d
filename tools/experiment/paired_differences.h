#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::experiment {

/** A measure of one day under two versions of the code, all else being equal. */
struct paired_value {
    std::string measure;
    std::string pair; /**< The day and seed. */
    double before = 0;
    double after = 0;

    friend bool operator==(const paired_value&, const paired_value&) = default;
};

/** Why a list of paired values can't be read. */
struct paired_fault {
    std::size_t line = 0; /**< Counts from 1. */
    std::string reason;

    friend bool operator==(const paired_fault&, const paired_fault&) = default;
};

/** How a measure differs over all pairs. */
struct paired_difference {
    std::string measure;
    std::size_t pairs = 0;
    double before = 0;     /**< Mean. */
    double after = 0;      /**< Mean. */
    double difference = 0; /**< Mean of the differences. */
    double half_width = 0; /**< Of the interval around the difference. */

    /** Whether the interval leaves out 0. */
    bool is_beyond_noise() const noexcept;

    friend bool operator==(const paired_difference&, const paired_difference&) = default;
};

/** Reads lines "MEASURE PAIR BEFORE AFTER"; empty lines are passed over. */
std::variant<std::vector<paired_value>, paired_fault> read_paired(std::istream& in);

/**
 * Differences by measure, in the order of their first values, with an interval of that confidence
 * by Student's t. A measure with fewer than two pairs has no interval and is left out.
 * Precondition: 0 < confidence < 1.
 */
std::vector<paired_difference> paired_differences(const std::vector<paired_value>& values,
                                                  double confidence);

} // namespace camphorgrade::experiment
