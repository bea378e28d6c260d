#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** Measures the at-most-once records, retries in an outage, and leaving. */
extern const command delivery_command;

} // namespace camphorgrade::experiment
