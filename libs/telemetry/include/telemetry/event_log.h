#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphorgrade {

/** Takes finished log lines. */
class line_sink {
public:
    line_sink() = default;
    line_sink(const line_sink&) = delete;
    line_sink& operator=(const line_sink&) = delete;
    virtual ~line_sink() = default;

    /** Writes what it can at once; returns how many bytes it took. Never blocks. */
    virtual std::size_t write(std::string_view bytes) = 0;
};

/** Standard output, switched to non-blocking. One for each process. */
class stdout_sink final : public line_sink {
public:
    stdout_sink();
    std::size_t write(std::string_view bytes) override;
};

/** Bounds of an event_log. */
struct event_log_settings {
    std::uint32_t routine_lines_per_s = 60;      /**< In a second; more are counted, not written. */
    std::uint32_t failure_lines_per_s = 300;     /**< The same, of lines that tell of failures. */
    std::size_t max_buffer_bytes = 256UL * 1024; /**< Unwritten; lines beyond it are counted. */

    friend bool operator==(const event_log_settings&, const event_log_settings&) = default;
};

/** What a line tells of; failures have a bound of their own, so that successes don't use it up. */
enum class log_category : std::uint8_t { routine, failure };

class log_line;

/**
 * A process's structured log: one JSON object a line, with time, node and event. Bounded in
 * volume by kind, and in memory; it never blocks. What was left out is told once a second.
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

    /** Starts a line; it is complete when the returned object dies. */
    log_line line(std::string_view event, log_category subject = log_category::routine);

    /** Writes out what is buffered, as far as the sink takes it. */
    void flush();

private:
    friend class log_line;

    struct kind_count {
        std::uint32_t written = 0;
        std::uint32_t left_out = 0;
    };

    using counts = std::map<std::string, kind_count, std::less<>>;

    static bool admit(counts& kinds, std::string_view event, std::uint32_t bound);
    void tell_left_out(counts& kinds);
    void begin_second();
    std::string opening(std::string_view event) const;
    void append(std::string_view line);

    std::string node_;
    const clock& clock_;
    line_sink& sink_;
    event_log_settings settings_;
    counts routine_;
    counts failures_;
    std::int64_t second_ = 0;
    std::uint64_t dropped_ = 0;
    std::string buffer_;
};

/** One line that is being put together. */
class log_line {
public:
    log_line(event_log* log, std::string opening);
    ~log_line();

    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;
    log_line(log_line&& other) noexcept;
    log_line& operator=(log_line&&) = delete;

    log_line& text(std::string_view field, std::string_view value);
    log_line& number(std::string_view field, std::int64_t value);
    log_line& flag(std::string_view field, bool value);

private:
    event_log* log_; /**< Null: the line is left out. */
    std::string text_;
};

} // namespace camphorgrade
