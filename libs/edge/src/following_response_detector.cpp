#include "following_response_detector.h"

#include <algorithm>
#include <utility>

namespace camphorgrade::edge {

namespace {

// '0' stands for any digit.
constexpr std::string_view status_line_pattern = "HTTP/1.0 000";
// A body that ends with at least these bytes ends within a status line.
constexpr std::string_view protocol_name = "HTTP/";
constexpr std::size_t max_reason_bytes = 128;
constexpr std::size_t max_header_name_bytes = 128;

bool is_digit(char byte) {
    return byte >= '0' && byte <= '9';
}

/** Whether `byte` may stand in the name of a header. */
bool is_token_byte(char byte) {
    const bool is_letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return is_letter || is_digit(byte) ||
           std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

/** Whether `name` is a field of an event stream, whose text may quote a status line. */
bool is_event_field(std::string_view name) {
    return name == "data" || name == "id" || name == "event" || name == "retry";
}

bool matches_pattern(std::string_view text) {
    const auto count = std::min(text.size(), status_line_pattern.size());
    return std::equal(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(count),
                      status_line_pattern.begin(), [](char byte, char expected) {
                          return expected == '0' ? is_digit(byte) : byte == expected;
                      });
}

} // namespace

following_response_detector::match following_response_detector::match_head(std::string_view text,
                                                                           bool begins_line) {
    if (!matches_pattern(text)) {
        return match::none;
    }
    if (text.size() <= status_line_pattern.size()) {
        return match::partial;
    }
    text.remove_prefix(status_line_pattern.size());
    if (text.front() != ' ' && text.front() != '\r') {
        return match::none; // a longer number
    }
    const auto line_end = text.find_first_of("\r\n");
    if (line_end == std::string_view::npos) {
        return text.size() > max_reason_bytes ? match::none : match::partial;
    }
    text.remove_prefix(line_end);
    if (text.substr(0, 2) != "\r\n") {
        return text == "\r" ? match::partial : match::none;
    }
    text.remove_prefix(2);
    return match_after_status_line(text, begins_line);
}

following_response_detector::match
following_response_detector::match_after_status_line(std::string_view text, bool begins_line) {
    if (begins_line && !text.empty() && text.front() == '\r') {
        return text.size() == 1 ? match::partial : (text[1] == '\n' ? match::whole : match::none);
    }
    const auto name_end = std::find_if_not(text.begin(), text.end(), is_token_byte);
    const auto name = text.substr(0, static_cast<std::size_t>(name_end - text.begin()));
    if (name_end == text.end()) {
        return name.size() > max_header_name_bytes ? match::none : match::partial;
    }
    const bool is_header = !name.empty() && *name_end == ':' && !is_event_field(name);
    return is_header ? match::whole : match::none;
}

std::string following_response_detector::append(std::string_view bytes) {
    if (is_found_) {
        return {};
    }
    auto text = std::exchange(held_, {});
    text.append(bytes);
    const std::string_view view = text;
    for (auto at = view.find(status_line_pattern.front()); at != std::string_view::npos;
         at = view.find(status_line_pattern.front(), at + 1)) {
        const char previous = at == 0 ? last_byte_ : view[at - 1];
        const auto found = match_head(view.substr(at), previous == '\n');
        if (found == match::none) {
            continue;
        }
        is_found_ = found == match::whole;
        held_ = is_found_ ? std::string{} : text.substr(at);
        text.resize(at);
        break;
    }
    last_byte_ = text.empty() ? last_byte_ : text.back();
    return text;
}

std::string following_response_detector::finish() {
    is_found_ = is_found_ || held_.size() >= protocol_name.size();
    return is_found_ ? std::string{} : std::exchange(held_, {});
}

} // namespace camphorgrade::edge
