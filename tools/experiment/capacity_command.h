#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** How the cost of control and of decisions grows with the fleet. */
extern const command capacity_command;

} // namespace camphorgrade::experiment
