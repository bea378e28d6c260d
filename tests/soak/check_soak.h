#pragma once

#include "soak_run.h"

namespace camphorgrade::soak {

/** Runs a soak test and checks that it has no violations. */
void check_soak(const soak_options& options);

} // namespace camphorgrade::soak
