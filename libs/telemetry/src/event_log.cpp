#include <telemetry/event_log.h>

#include <kernel/check.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <utility>

namespace camphorgrade {

namespace {

constexpr std::int64_t ms_per_s = 1'000;
constexpr unsigned char first_printable = 0x20;

void append_quoted(std::string& out, std::string_view value) {
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < first_printable) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
            out += escaped.data();
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

stdout_sink::stdout_sink() {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        static_cast<void>(::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK));
    }
}

std::size_t stdout_sink::write(std::string_view bytes) {
    const auto written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

event_log::event_log(std::string node, const clock& clock, line_sink& sink,
                     event_log_settings settings)
    : node_(std::move(node)), clock_(clock), sink_(sink), settings_(settings) {}

log_line event_log::line(std::string_view event, log_category category) {
    begin_second();
    const bool is_admitted = category == log_category::failure
                                 ? admit(failures_, event, settings_.failure_lines_per_s)
                                 : admit(routine_, event, settings_.routine_lines_per_s);
    return is_admitted ? log_line{this, prefix(event)} : log_line{nullptr, {}};
}

std::string event_log::prefix(std::string_view event) const {
    const auto unix_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::string out = "{\"time_ms\":" + std::to_string(unix_time.count()) + ",\"node\":";
    append_quoted(out, node_);
    out += ",\"event\":";
    append_quoted(out, event);
    return out;
}

bool event_log::admit(event_counts& counts, std::string_view event, std::uint32_t limit) {
    auto found = counts.find(event);
    if (found == counts.end()) {
        found = counts.emplace(std::string(event), event_count{}).first;
    }
    auto& count = found->second;
    if (count.written >= limit) {
        ++count.suppressed;
        return false;
    }
    ++count.written;
    return true;
}

void event_log::begin_second() {
    const auto second = clock_.now().time_since_epoch().count() / ms_per_s;
    if (second == second_) {
        return;
    }
    second_ = second;
    log_suppressed(routine_);
    log_suppressed(failures_);
}

void event_log::log_suppressed(event_counts& counts) {
    for (auto& [event, count] : counts) {
        if (count.suppressed > 0) {
            auto line = prefix("lines_left_out");
            line += ",\"of\":";
            append_quoted(line, event);
            line += ",\"count\":" + std::to_string(count.suppressed) + "}";
            append(line);
        }
        count = {};
    }
}

void event_log::append(std::string_view line) {
    if (buffer_.size() + line.size() > settings_.max_buffer_bytes) {
        ++dropped_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
}

void event_log::flush() {
    if (buffer_.empty()) {
        return;
    }
    if (dropped_ > 0 && buffer_.size() < settings_.max_buffer_bytes / 2) {
        auto line = prefix("lines_dropped");
        line += ",\"count\":" + std::to_string(std::exchange(dropped_, 0)) + "}";
        append(line);
    }
    buffer_.erase(0, sink_.write(buffer_));
}

log_line::log_line(event_log* log, std::string prefix) : log_(log), text_(std::move(prefix)) {}

log_line::log_line(log_line&& other) noexcept
    : log_(std::exchange(other.log_, nullptr)), text_(std::move(other.text_)) {}

log_line::~log_line() {
    if (log_ != nullptr) {
        text_ += '}';
        log_->append(text_);
    }
}

log_line& log_line::text(std::string_view field, std::string_view value) {
    if (log_ != nullptr) {
        text_ += ',';
        append_quoted(text_, field);
        text_ += ':';
        append_quoted(text_, value);
    }
    return *this;
}

log_line& log_line::number(std::string_view field, std::int64_t value) {
    if (log_ != nullptr) {
        text_ += ',';
        append_quoted(text_, field);
        text_ += ':' + std::to_string(value);
    }
    return *this;
}

log_line& log_line::decimal(std::string_view field, double value) {
    CAMPHOR_PRECONDITION(std::isfinite(value));
    if (log_ != nullptr) {
        std::array<char, 400> digits{}; // longer than the largest finite value
        std::snprintf(digits.data(), digits.size(), "%.3f", value);
        text_ += ',';
        append_quoted(text_, field);
        text_ += ':';
        text_ += digits.data();
    }
    return *this;
}

log_line& log_line::flag(std::string_view field, bool value) {
    if (log_ != nullptr) {
        text_ += ',';
        append_quoted(text_, field);
        text_ += value ? ":true" : ":false";
    }
    return *this;
}

} // namespace camphorgrade
