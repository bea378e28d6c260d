#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** Measures requests over loopback, straight to a backend server and through the system. */
extern const command load_command;

} // namespace camphorgrade::experiment
