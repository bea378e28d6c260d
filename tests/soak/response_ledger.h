#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace camphorgrade::soak {

/** How a backend server ended the response of a run. */
enum class response_end : std::uint8_t {
    open,
    complete,
    closed_early, /**< Without framing, by closing the connection in order. */
    broken
};

/** What the response of one run consists of. */
struct run_response {
    std::string body; /**< The bytes that were written; more if the response was cut and framed. */
    response_end end = response_end::open;
    std::set<int> omitted_events;
};

/** Software version of a server with this id: one of two, which changes with the server's number
    and with each of its processes that has an id of its own. */
std::string software_version_of(std::string_view server_id);

/** Event `number`, counted from 1, of the response stream of the run with this seal. */
std::string stream_event(const std::string& seal, int number);

/** Number of events of a complete stream. */
inline constexpr int stream_event_count = 12;

/** Response body of a plain service. */
std::string service_response_body(const std::string& seal);

/**
 * Records the bytes of the responses of backend servers, and compares those that callers received.
 * Not thread safe.
 */
class response_ledger {
public:
    /** Records that a run of `request` begins to respond under `seal`. */
    void on_begin(const std::string& request, const std::string& seal);
    void on_body(const std::string& seal, std::string_view bytes);
    void on_omitted_event(const std::string& seal, int number);

    /** Records the end of a response; only the first end of a response counts. */
    void on_end(const std::string& seal, response_end end);

    /** Whether `seal` identifies the response of a run of this request. */
    bool is_response_of(const std::string& request, const std::string& seal) const;

    /** Returns what is wrong with a plain body that a caller of `request` got under `seal`. */
    std::optional<std::string> check_plain(const std::string& request, const std::string& seal,
                                           const std::string& body, bool is_complete) const;

    /** Returns what is wrong with the events that a caller of `request` got. */
    std::optional<std::string> check_stream(const std::string& request, const std::string& body,
                                            bool is_complete) const;

private:
    bool is_omitted(const std::string& request, int number) const;
    bool ends_any_run(const std::string& request, const std::string& event) const;
    bool begins_any_event(const std::string& request, std::string_view text, int number) const;

    std::map<std::string, run_response> runs_;              // by seal
    std::map<std::string, std::set<std::string>> requests_; // seals by request
};

} // namespace camphorgrade::soak
