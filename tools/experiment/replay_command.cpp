#include "replay_command.h"

#include <delivery_sim/trace.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace camphorgrade::experiment {

namespace {

namespace sim = delivery::sim;
namespace leaf = boost::leaf;

constexpr int exit_differs = 1;
constexpr int exit_usage = 2;

const char* name_of(sim::trace_fault fault) {
    switch (fault) {
    case sim::trace_fault::missing_format:
        return "the first line is not 'format camphor-trace 1'";
    case sim::trace_fault::unknown_line:
        return "unknown line";
    case sim::trace_fault::bad_number:
        return "not a number";
    case sim::trace_fault::unknown_name:
        return "unknown name";
    case sim::trace_fault::out_of_order:
        return "earlier than the line before";
    }
    return "unknown fault";
}

std::optional<std::string> read_file(const std::string& name) {
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int replay_text(const std::string& name, const std::string& text, bool print) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(recorded, sim::parse_trace(text));
            const sim::replay_outcome outcome = sim::replay(recorded);
            if (print) {
                for (const auto& each : outcome.seen) {
                    std::printf("expect %s\n", sim::text_of(each).c_str());
                }
                return 0;
            }
            if (!outcome.difference) {
                std::printf("%s: as stated, %zu events\n", name.c_str(), outcome.seen.size());
                return 0;
            }
            std::printf("%s: event %zu differs\n  stated: %s\n  seen:   %s\n", name.c_str(),
                        outcome.difference->event, outcome.difference->expected.c_str(),
                        outcome.difference->seen.c_str());
            return exit_differs;
        },
        [&](const sim::trace_error& error) {
            std::fprintf(stderr, "%s:%zu: %s\n", name.c_str(), error.line, name_of(error.fault));
            return exit_usage;
        },
        [&] {
            std::fprintf(stderr, "%s: cannot be replayed\n", name.c_str());
            return exit_usage;
        });
}

int run_replay(const std::vector<std::string>& arguments) {
    bool print = false;
    int worst = 0;
    int files = 0;
    for (const std::string& each : arguments) {
        if (each == "--print") {
            print = true;
            continue;
        }
        ++files;
        const std::optional<std::string> text = read_file(each);
        if (!text) {
            std::fprintf(stderr, "%s: cannot be read\n", each.c_str());
            worst = exit_usage;
            continue;
        }
        worst = std::max(worst, replay_text(each, *text, print));
    }
    if (files == 0) {
        std::fputs("usage: camphor-experiment replay [--print] FILE...\n", stderr);
        return exit_usage;
    }
    return worst;
}

} // namespace

const command replay_command{"replay", "run recorded traces against the outcomes that they state",
                             run_replay};

} // namespace camphorgrade::experiment
