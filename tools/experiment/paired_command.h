#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** `paired`: how measures differ between two versions of the code, over pairs of plays. */
extern const command paired_command;

} // namespace camphorgrade::experiment
