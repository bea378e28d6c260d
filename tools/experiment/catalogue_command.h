#pragma once

#include "command.h"

namespace camphorgrade::experiment {

/** Time, bytes and memory of operators' texts with very many adapters. */
extern const command catalogue_command;

} // namespace camphorgrade::experiment
