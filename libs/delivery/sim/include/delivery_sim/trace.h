#pragma once

#include <delivery_sim/world.h>

#include <boost/leaf.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::delivery::sim {

/** One line of a trace that does something. A value type. */
struct trace_action {
    std::int64_t at_ms = 0;
    std::string verb;
    std::vector<std::string> words;            /**< Plain words after the verb. */
    std::map<std::string, std::string> values; /**< name=value words. */

    friend bool operator==(const trace_action&, const trace_action&) = default;
};

/**
 * A recorded run and its stated outcome. The line format is described in examples/traces/README.md.
 * A value type.
 */
struct trace {
    world_settings world;
    std::vector<trace_action> actions; /**< In order of time. */
    std::int64_t until_ms = 0;
    std::vector<observation> expected;
    std::map<std::string, unsigned> expected_runs; /**< By body. */
};

/** What is wrong with a line of a trace. */
enum class trace_fault { missing_format, unknown_line, bad_number, unknown_name, out_of_order };

/** A trace that can't be read. */
struct trace_error {
    trace_fault fault = trace_fault::unknown_line;
    std::size_t line = 0; /**< Counts from 1. */

    friend bool operator==(const trace_error&, const trace_error&) = default;
};

/** Where a run departs from its trace; `expected` or `seen` is empty when one has ended. */
struct trace_difference {
    std::size_t event = 0; /**< Counts from 1. */
    std::string expected;
    std::string seen;

    friend bool operator==(const trace_difference&, const trace_difference&) = default;
};

/** A finished replay. */
struct replay_outcome {
    std::vector<observation> seen;
    std::optional<trace_difference> difference; /**< The first. */
};

/** Reads a trace; fails with trace_error. Thread safe. */
boost::leaf::result<trace> parse_trace(std::string_view text);

/** Runs a trace and compares. Thread safe. */
replay_outcome replay(const trace& recorded);

/** An observation as a trace line states it. Thread safe. */
std::string text_of(const observation& seen);

} // namespace camphorgrade::delivery::sim
