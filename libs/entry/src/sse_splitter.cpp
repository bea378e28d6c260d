#include "sse_splitter.h"

#include <charconv>

namespace camphorgrade::entry {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string sse_splitter::append(std::string_view bytes) {
    // The pending bytes hold no event end, so an event end includes a new byte and begins at the
    // last pending byte at the earliest.
    const auto search_begin = pending_.empty() ? 0 : pending_.size() - 1;
    pending_.append(bytes);
    const auto end = std::string_view(pending_).substr(search_begin).rfind(event_end);
    if (end == std::string_view::npos) {
        return {};
    }
    std::string complete = pending_.substr(0, search_begin + end + event_end.size());
    pending_.erase(0, complete.size());
    record_event_ids(complete);
    return complete;
}

void sse_splitter::record_event_ids(std::string_view events) {
    while (!events.empty()) {
        const auto newline = events.find('\n');
        auto line = events.substr(0, newline);
        events.remove_prefix(newline == std::string_view::npos ? events.size() : newline + 1);
        event_count_ += line.empty() ? 1 : 0;
        if (line.substr(0, id_field.size()) != id_field) {
            continue;
        }
        line.remove_prefix(id_field.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{}) {
            last_event_id_ = id;
        }
    }
}

} // namespace camphorgrade::entry
