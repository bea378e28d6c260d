#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** How much of its rate a client account can use, beside a reference and two baselines. */
extern const command limits_command;

} // namespace camphorgrade::experiment
