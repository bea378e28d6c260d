#include "once_record_codec.h"

#include <utility>

namespace camphorgrade::delivery {

std::optional<wire::once_record> parse_once_record(const kv_entry& entry) {
    wire::once_record record;
    return record.ParseFromString(entry.value) ? std::optional(std::move(record)) : std::nullopt;
}

recorded_outcome read_outcome(const wire::once_outcome& stored) {
    recorded_outcome outcome{{stored.status(), {}}, stored.body(), stored.body_omitted()};
    for (const auto& header : stored.headers()) {
        outcome.head.headers.push_back({header.name(), header.value()});
    }
    return outcome;
}

void write_outcome(const recorded_outcome& outcome, wire::once_outcome& out) {
    out.set_status(outcome.head.status);
    for (const auto& [name, value] : outcome.head.headers) {
        auto* header = out.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    out.set_body(outcome.body);
    out.set_body_omitted(outcome.body_omitted);
}

} // namespace camphorgrade::delivery
