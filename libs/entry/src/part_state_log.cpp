#include "part_state_log.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace camphorgrade::entry {

std::string part_name(std::uint64_t part) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%08" PRIx64, part);
    return text.data();
}

void log_part_change(event_log& log, const serving::part_state_change& change) {
    std::string servers;
    for (const auto& each : change.crashed) {
        servers += servers.empty() ? each.id : ',' + each.id;
    }
    log.line("prompt_part_state")
        .text("part", part_name(change.part))
        .text("state", to_string(change.state))
        .number("crashes", static_cast<std::int64_t>(change.crashed.size()))
        .number("starts", static_cast<std::int64_t>(change.starts))
        .number("hold_ms", change.hold.count())
        .text("backend_servers", servers);
}

} // namespace camphorgrade::entry
