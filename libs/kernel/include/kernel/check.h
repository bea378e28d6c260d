#pragma once

#include <stdexcept>

namespace camphorgrade {

/** Thrown when a caller breaks a documented precondition or a module finds its state broken. */
class contract_violation final : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/** Throws contract_violation naming the kind of contract, its text and its place. */
[[noreturn]] void report_contract_violation(const char* kind, const char* condition,
                                            const char* file, int line);

} // namespace camphorgrade

/** States what the caller must have ensured; stands at the top of a function. */
#define CAMPHOR_PRECONDITION(condition)                                                            \
    ((condition) ? static_cast<void>(0)                                                            \
                 : ::camphorgrade::report_contract_violation("precondition", #condition, __FILE__, \
                                                             __LINE__))

/** States what the module itself must have kept true. */
#define CAMPHOR_INVARIANT(condition)                                                               \
    ((condition)                                                                                   \
         ? static_cast<void>(0)                                                                    \
         : ::camphorgrade::report_contract_violation("invariant", #condition, __FILE__, __LINE__))
