#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** Runs recorded traces of deliveries against the outcomes that they state. */
extern const command replay_command;

} // namespace camphorgrade::experiment
