#pragma once

#include <stdexcept>

namespace camphorgrade {

/** Thrown when a documented precondition or an internal invariant does not hold. */
class contract_violation final : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/** Throws contract_violation with the kind of the contract, its condition and source location. */
[[noreturn]] void report_contract_violation(const char* kind, const char* condition,
                                            const char* file, int line);

} // namespace camphorgrade

/** Checks a condition that the caller must ensure. Use it at the top of a function. */
#define CAMPHOR_PRECONDITION(condition)                                                            \
    ((condition) ? static_cast<void>(0)                                                            \
                 : ::camphorgrade::report_contract_violation("precondition", #condition, __FILE__, \
                                                             __LINE__))

/** Checks a condition that the module itself must maintain. */
#define CAMPHOR_INVARIANT(condition)                                                               \
    ((condition)                                                                                   \
         ? static_cast<void>(0)                                                                    \
         : ::camphorgrade::report_contract_violation("invariant", #condition, __FILE__, __LINE__))
