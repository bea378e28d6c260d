#include "commands.h"

#include <cstdio>
#include <string>
#include <vector>

namespace {

constexpr int exit_usage = 2;

void print_usage() {
    std::puts("usage: camphor-experiment COMMAND [OPTIONS]\n\ncommands:");
    for (const auto& each : camphorgrade::experiment::commands()) {
        std::printf("  %-12s %s\n", each.name, each.summary);
    }
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help") {
        print_usage();
        return arguments.empty() ? exit_usage : 0;
    }
    for (const auto& each : camphorgrade::experiment::commands()) {
        if (arguments.front() == each.name) {
            return each.run({arguments.begin() + 1, arguments.end()});
        }
    }
    std::fprintf(stderr, "camphor-experiment: unknown command '%s'\n", arguments.front().c_str());
    print_usage();
    return exit_usage;
}
