#pragma once

#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** One subcommand of camphor-experiment. */
struct command {
    const char* name;
    const char* summary;

    /** Runs with the arguments after the subcommand's name; returns the exit code. */
    int (*run)(const std::vector<std::string>& arguments);
};

} // namespace camphorgrade::experiment
