#pragma once

namespace camphorgrade::delivery {

/** What can be proved about whether a request reached its backend server. */
enum class run_knowledge {
    not_run, /**< It provably never ran and never will. */
    unknown, /**< It may have run, or may yet run. */
    ran      /**< It provably began to run. */
};

/** What two attempts of one request tell together. Thread safe. */
constexpr run_knowledge combine(run_knowledge a, run_knowledge b) noexcept {
    if (a == run_knowledge::ran || b == run_knowledge::ran) {
        return run_knowledge::ran;
    }
    const bool both = a == run_knowledge::not_run && b == run_knowledge::not_run;
    return both ? run_knowledge::not_run : run_knowledge::unknown;
}

/** The word for the field "run" of a refusal; "unknown" for all but not_run. Thread safe. */
constexpr const char* refusal_word(run_knowledge run) noexcept {
    return run == run_knowledge::not_run ? "not_run" : "unknown";
}

} // namespace camphorgrade::delivery
