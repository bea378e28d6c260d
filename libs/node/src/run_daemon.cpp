#include <node/run_daemon.h>

#include <iostream>

namespace camphorgrade {

void print_faults(const std::string& program, const std::vector<config::config_fault>& faults) {
    for (const auto& each : faults) {
        std::cerr << program << ": " << config::to_string(each) << '\n';
    }
}

} // namespace camphorgrade
