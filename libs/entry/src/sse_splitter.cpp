#include "sse_splitter.h"

#include <charconv>

namespace camphorgrade::entry {

namespace {

constexpr std::string_view id_field = "id";

/** Removes and returns the first line of `text`, without its end. */
std::string_view take_line(std::string_view& text) {
    const auto newline = text.find('\n');
    auto line = text.substr(0, newline);
    text.remove_prefix(newline == std::string_view::npos ? text.size() : newline + 1);
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::uint64_t> read_id(std::string_view value) {
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool is_whole = parsed.ec == std::errc{} && parsed.ptr == value.data() + value.size();
    return is_whole && !value.empty() ? std::optional(id) : std::nullopt;
}

sse_event make_event(std::string bytes) {
    sse_event out;
    out.bytes = std::move(bytes);
    out.is_comment = true;
    std::string_view rest = out.bytes;
    while (!rest.empty()) {
        const auto line = take_line(rest);
        const auto colon = line.find(':');
        const auto field = line.substr(0, colon);
        out.is_comment = out.is_comment && field.empty();
        if (field == id_field) {
            out.id = read_id(colon == std::string_view::npos ? "" : line.substr(colon + 1));
        }
    }
    return out;
}

} // namespace

std::vector<sse_event> sse_splitter::append(std::string_view bytes) {
    pending_.append(bytes);
    std::vector<sse_event> out;
    std::size_t event_begin = 0;
    for (auto newline = pending_.find('\n', searched_to_); newline != std::string::npos;
         newline = pending_.find('\n', line_begin_)) {
        const auto line = std::string_view(pending_).substr(line_begin_, newline - line_begin_);
        line_begin_ = newline + 1;
        if (line.empty() || line == "\r") {
            out.push_back(make_event(pending_.substr(event_begin, line_begin_ - event_begin)));
            event_begin = line_begin_;
        }
    }
    pending_.erase(0, event_begin);
    line_begin_ -= event_begin;
    searched_to_ = pending_.size();
    return out;
}

} // namespace camphorgrade::entry
