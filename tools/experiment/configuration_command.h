#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** How fast, and at what cost, an accepted text comes into force in a fleet on a fake network. */
extern const command configuration_command;

} // namespace camphorgrade::experiment
