#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphorgrade {

/** Destination of complete log lines. */
class line_sink {
public:
    line_sink() = default;
    line_sink(const line_sink&) = delete;
    line_sink& operator=(const line_sink&) = delete;
    virtual ~line_sink() = default;

    /** Writes as many bytes as possible without blocking; returns their number. */
    virtual std::size_t write(std::string_view bytes) = 0;
};

/** Standard output in non-blocking mode. At most one per process. */
class stdout_sink final : public line_sink {
public:
    stdout_sink();
    std::size_t write(std::string_view bytes) override;
};

/** Limits of an event_log. */
struct event_log_settings {
    /** Limit for routine lines of each event name; further lines are only counted. */
    std::uint32_t routine_lines_per_s = 60;
    /** Limit for failure lines of each event name; further lines are only counted. */
    std::uint32_t failure_lines_per_s = 300;
    /** Limit on unwritten bytes; lines beyond it are only counted. */
    std::size_t max_buffer_bytes = 256UL * 1024;

    friend bool operator==(const event_log_settings&, const event_log_settings&) = default;
};

/** Category of a log line; failures have their own rate limit, so successes cannot use it up. */
enum class log_category : std::uint8_t { routine, failure };

class log_line;

/**
 * Structured log of a process: one JSON object per line, with time, node and event name. It never
 * blocks; its rate is limited for each event name, and its buffer is bounded. Once a second it logs
 * how many lines were suppressed.
 *
 * Not thread safe.
 *
 * @code
 * log.line("request_refused").text("request", id).number("retry_after_ms", 250);
 * @endcode
 */
class event_log {
public:
    event_log(std::string node, const clock& clock, line_sink& sink, event_log_settings settings);

    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /** Starts a line, which is appended to the buffer when the returned object is destroyed. */
    log_line line(std::string_view event, log_category category = log_category::routine);

    /** Writes as much of the buffer as the sink accepts. */
    void flush();

private:
    friend class log_line;

    struct event_count {
        std::uint32_t written = 0;
        std::uint32_t suppressed = 0;
    };

    using event_counts = std::map<std::string, event_count, std::less<>>;

    static bool admit(event_counts& counts, std::string_view event, std::uint32_t limit);
    void log_suppressed(event_counts& counts);
    void begin_second();
    std::string prefix(std::string_view event) const;
    void append(std::string_view line);

    std::string node_;
    const clock& clock_;
    line_sink& sink_;
    event_log_settings settings_;
    event_counts routine_;
    event_counts failures_;
    std::int64_t second_ = 0;
    std::uint64_t dropped_ = 0;
    std::string buffer_;
};

/** Builder of one log line. */
class log_line {
public:
    log_line(event_log* log, std::string prefix);
    ~log_line();

    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;
    log_line(log_line&& other) noexcept;
    log_line& operator=(log_line&&) = delete;

    log_line& text(std::string_view field, std::string_view value);
    log_line& number(std::string_view field, std::int64_t value);
    /** Writes `value` with three decimal places. Precondition: `value` is finite. */
    log_line& decimal(std::string_view field, double value);
    log_line& flag(std::string_view field, bool value);

private:
    event_log* log_; /**< Null if the line is suppressed. */
    std::string text_;
};

} // namespace camphorgrade
