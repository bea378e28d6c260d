#include <kernel/check.h>

#include <string>

namespace camphorgrade {

void report_contract_violation(const char* kind, const char* condition, const char* file,
                               int line) {
    throw contract_violation(std::string(kind) + " broken: " + condition + " at " + file + ":" +
                             std::to_string(line));
}

} // namespace camphorgrade
