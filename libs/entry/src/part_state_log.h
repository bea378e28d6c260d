#pragma once

#include <serving/crashing_parts.h>
#include <telemetry/event_log.h>

#include <cstdint>
#include <string>

namespace camphorgrade::entry {

/** A part's id in the hexadecimal form that callers send. */
std::string part_name(std::uint64_t part);

/** Logs that a part of prompts is suspect, held, on trial or cleared, with the crashes behind
    it. */
void log_part_change(event_log& log, const serving::part_state_change& change);

} // namespace camphorgrade::entry
