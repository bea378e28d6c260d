#pragma once

#include <serving/service_catalogue.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::entry::stream_test {

enum class reply_kind : std::uint8_t { run, unsealed_run, error, refusal };
enum class body_framing : std::uint8_t { chunked, length, until_close };
enum class id_style : std::uint8_t { rising, missing, non_numeric, falling };
enum class line_end : std::uint8_t { lf, crlf };
/** A server that crashes closes its connection in an orderly way and answers no more. */
enum class close_style : std::uint8_t { orderly, reset, crash };
/** How a server names the media type of an event stream. */
enum class type_style : std::uint8_t { usual, other_case, second_line, missing };

/** What the server of one attempt does. A value type. */
struct attempt_script {
    reply_kind reply = reply_kind::run;
    body_framing framing = body_framing::chunked;
    id_style ids = id_style::rising;
    line_end lines = line_end::lf;
    close_style close = close_style::orderly;
    type_style type = type_style::usual;
    int error_status = 500;
    int refusal_status = 503;
    std::size_t events = 1;
    bool ignores_position = false;  /**< Starts with the first event, wherever it should resume. */
    bool has_open_end = false;      /**< The body ends within a further event. */
    std::size_t missing_bytes = 0;  /**< Bytes not sent, modulo the size of the response. */
    std::size_t fragment_bytes = 0; /**< Size of each write; 0: all at once. */
    std::size_t chunk_bytes = 16;   /**< Size of a chunk of a chunked body. */

    friend bool operator==(const attempt_script&, const attempt_script&) = default;
};

/** A request and what the servers of its attempts do. A value type. */
struct request_script {
    serving::request_kind kind = serving::request_kind::streaming;
    bool is_resumable = true;
    bool is_event_stream = true;
    std::optional<std::uint64_t> caller_position; /**< Last event id that the caller sent. */
    std::vector<attempt_script> attempts;

    bool is_retryable() const {
        return kind == serving::request_kind::idempotent ||
               (kind == serving::request_kind::streaming && is_resumable);
    }

    friend bool operator==(const request_script&, const request_script&) = default;
};

/** An event of a run. A value type. */
struct run_event {
    std::string bytes;
    std::optional<std::uint64_t> id; /**< Empty if it has none or one that isn't a number. */

    friend bool operator==(const run_event&, const run_event&) = default;
};

/** The response that one attempt's server made, and the part of it that was sent. A value type. */
struct made_response {
    attempt_script script;
    int status = 200;
    std::string head;
    std::vector<run_event> events; /**< Empty unless the response is an event stream. */
    std::string body;
    std::string wire;                            /**< Head and framed body. */
    std::size_t sent_bytes = 0;                  /**< Of `wire`. */
    std::optional<std::uint64_t> asked_position; /**< Position that the request asked for. */

    bool is_success() const {
        return script.reply == reply_kind::run || script.reply == reply_kind::unsealed_run;
    }
    /** Whether the server has stated that the request didn't run. */
    bool is_known_not_run() const {
        return script.reply == reply_kind::refusal && sent_bytes >= head.size();
    }
    /** Whether the body that was sent is complete by its framing. */
    bool is_complete() const {
        if (script.framing == body_framing::until_close) {
            return sent_bytes >= head.size() && script.close == close_style::orderly;
        }
        return sent_bytes == wire.size();
    }
    /** The body as far as it was sent. Precondition: is_complete(). */
    std::string complete_body() const {
        return script.framing == body_framing::until_close
                   ? wire.substr(head.size(), sent_bytes - head.size())
                   : body;
    }
    /** Number of events in a body; empty if it ends within an event. */
    std::optional<std::size_t> whole_events(std::string_view part) const {
        std::size_t count = 0;
        while (!part.empty()) {
            if (count == events.size() ||
                part.substr(0, events[count].bytes.size()) != events[count].bytes) {
                return std::nullopt;
            }
            part.remove_prefix(events[count].bytes.size());
            ++count;
        }
        return count;
    }

    friend bool operator==(const made_response&, const made_response&) = default;
};

inline std::string id_line(id_style style, std::uint64_t position, std::size_t index) {
    switch (style) {
    case id_style::rising:
        return "id: " + std::to_string(position);
    case id_style::falling:
        return "id: " + std::to_string(1'000 - position);
    case id_style::non_numeric:
        return "id: part-" + std::to_string(position);
    case id_style::missing:
        break;
    }
    return "event: part" + std::to_string(index);
}

/** The events of a run; those of different runs differ in their bytes. */
inline std::vector<run_event> make_events(const attempt_script& script, std::size_t number,
                                          std::uint64_t after) {
    const std::string newline = script.lines == line_end::lf ? "\n" : "\r\n";
    std::vector<run_event> events;
    for (std::size_t i = 0; i < script.events; ++i) {
        const auto position = after + i + 1;
        std::string bytes = id_line(script.ids, position, i) + newline;
        bytes += "data: run " + std::to_string(number) + " part " + std::to_string(i) + newline;
        std::optional<std::uint64_t> id;
        if (script.ids == id_style::rising) {
            id = position;
        } else if (script.ids == id_style::falling) {
            id = 1'000 - position;
        }
        events.push_back({bytes + newline, id});
    }
    return events;
}

inline std::string frame_body(const attempt_script& script, const std::string& body) {
    if (script.framing != body_framing::chunked) {
        return body;
    }
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += script.chunk_bytes) {
        const auto size = std::min(script.chunk_bytes, body.size() - at);
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hex;
        for (auto rest = size; rest > 0; rest /= digits.size()) {
            hex.insert(hex.begin(), digits[rest % digits.size()]);
        }
        out += hex + "\r\n" + body.substr(at, size) + "\r\n";
    }
    return out + "0\r\n\r\n";
}

inline std::string stream_type(type_style style) {
    std::string usual = "Content-Type: text/event-stream\r\n";
    switch (style) {
    case type_style::usual:
        return usual;
    case type_style::other_case:
        return "Content-Type: Text/Event-Stream; charset=utf-8\r\n";
    case type_style::second_line:
        return "Content-Type: text/plain\r\n" + usual;
    case type_style::missing:
        return "";
    }
    return usual;
}

inline std::string make_head(const attempt_script& script, bool is_event_stream, int status,
                             std::size_t body_bytes) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    if (script.reply == reply_kind::refusal) {
        head += "X-Not-Run: 1\r\n";
    } else if (script.reply != reply_kind::unsealed_run) {
        head += "X-Seal: s\r\n";
    }
    head += is_event_stream ? stream_type(script.type) : "Content-Type: text/plain\r\n";
    if (script.framing == body_framing::chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    } else if (script.framing == body_framing::length) {
        head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return head + "\r\n";
}

/** What the server of attempt `number` makes if the request asks it to go on after `asked`. */
inline made_response make_response_of(const request_script& request, std::size_t number,
                                      std::optional<std::uint64_t> asked) {
    made_response out;
    out.script = request.attempts[number];
    if (request.kind != serving::request_kind::streaming &&
        out.script.type == type_style::missing) {
        out.script.type = type_style::usual; // only a streaming route tells that it is a stream
    }
    out.asked_position = asked;
    const bool is_stream = request.is_event_stream && out.is_success();
    if (out.script.reply == reply_kind::error) {
        out.status = out.script.error_status;
    } else if (out.script.reply == reply_kind::refusal) {
        out.status = out.script.refusal_status;
    }
    if (is_stream) {
        out.events =
            make_events(out.script, number, out.script.ignores_position ? 0 : asked.value_or(0));
        for (const auto& each : out.events) {
            out.body += each.bytes;
        }
        out.body +=
            out.script.has_open_end ? "id: 99\ndata: run " + std::to_string(number) + " op" : "";
    } else {
        out.body =
            "response of run " + std::to_string(number) + std::string(out.script.events * 8, '.');
    }
    out.head = make_head(out.script, is_stream, out.status, out.body.size());
    out.wire = out.head + frame_body(out.script, out.body);
    out.sent_bytes = out.wire.size() - out.script.missing_bytes % (out.wire.size() + 1);
    return out;
}

inline void show(const attempt_script& script, std::ostream& out) {
    out << "{reply " << static_cast<int>(script.reply) << ", framing "
        << static_cast<int>(script.framing) << ", ids " << static_cast<int>(script.ids)
        << ", lines " << static_cast<int>(script.lines) << ", close "
        << static_cast<int>(script.close) << ", type " << static_cast<int>(script.type)
        << ", statuses " << script.error_status << ' ' << script.refusal_status << ", events "
        << script.events << ", ignores_position " << script.ignores_position << ", open_end "
        << script.has_open_end << ", missing " << script.missing_bytes << ", fragment "
        << script.fragment_bytes << ", chunk " << script.chunk_bytes << '}';
}

inline std::ostream& operator<<(std::ostream& out, const request_script& request) {
    out << "kind " << static_cast<int>(request.kind) << ", resumable " << request.is_resumable
        << ", event stream " << request.is_event_stream << ", caller's position "
        << (request.caller_position ? std::to_string(*request.caller_position) : "none");
    for (const auto& each : request.attempts) {
        out << "\n  ";
        show(each, out);
    }
    return out;
}

} // namespace camphorgrade::entry::stream_test
