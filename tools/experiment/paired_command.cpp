#include "paired_command.h"

#include "paired_differences.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <variant>

namespace camphorgrade::experiment {

namespace {

constexpr int exit_usage = 2;
constexpr double confidence = 0.95;

void print(const paired_difference& of) {
    std::printf("%-14s %10.4f -> %10.4f  %+9.4f +- %7.4f  (%zu pairs)%s\n", of.measure.c_str(),
                of.before, of.after, of.difference, of.half_width, of.pairs,
                of.is_beyond_noise() ? "  beyond noise" : "");
}

int run_paired(const std::vector<std::string>& arguments) {
    if (arguments.size() != 1) {
        std::fprintf(stderr, "usage: camphor-experiment paired FILE\n"
                             "FILE has lines: MEASURE PAIR BEFORE AFTER\n");
        return exit_usage;
    }
    std::ifstream file(arguments.front());
    if (!file) {
        std::fprintf(stderr, "%s: can't be read\n", arguments.front().c_str());
        return exit_usage;
    }
    const auto read = read_paired(file);
    if (const auto* fault = std::get_if<paired_fault>(&read)) {
        std::fprintf(stderr, "%s:%zu: %s\n", arguments.front().c_str(), fault->line,
                     fault->reason.c_str());
        return exit_usage;
    }
    for (const auto& each :
         paired_differences(std::get<std::vector<paired_value>>(read), confidence)) {
        print(each);
    }
    return 0;
}

} // namespace

const command paired_command{"paired", "differences between two versions over pairs of plays",
                             run_paired};

} // namespace camphorgrade::experiment
