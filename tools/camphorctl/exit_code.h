#pragma once

namespace camphorgrade::ctl {

/** How camphorctl ends; listed in --help. */
enum class exit_code : int {
    ok = 0,
    failed = 1,          /**< An order was refused, such as an unknown key. */
    bad_input = 2,       /**< Bad options, or a text with faults. */
    raced = 3,           /**< Another apply came first; nothing was changed. */
    unavailable = 4,     /**< The store did not answer; nothing was changed. */
    outcome_unknown = 5, /**< The store did not answer; the change may have been made. */
    not_everywhere = 6   /**< Accepted, and not in force everywhere within the timeout. */
};

} // namespace camphorgrade::ctl
