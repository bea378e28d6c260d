#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** `placement`: how well policies place adapters, in a model of the fleet. */
extern const command placement_command;

} // namespace camphorgrade::experiment
