#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** All subcommands, in the order in which --help lists them. */
const std::vector<command>& commands();

} // namespace camphorgrade::experiment
