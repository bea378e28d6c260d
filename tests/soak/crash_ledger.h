#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** Value of X-Prompt-Prefix of a request; parts are shared, the last one is the request's own. */
struct prompt {
    std::string first_part;
    bool has_crashing_part = false;

    /** The header's value for the request with this number. */
    std::string text(std::uint64_t request_number) const;
};

/** Part of a prompt that crashes each server that begins to respond to it. */
inline constexpr const char* crashing_part = "badc0de";

/** Records requests whose prompts have a part that crashes servers. Not thread safe. */
class crash_ledger {
public:
    void on_sent(const std::string& request, const prompt& parts, time_point now);
    void on_arrival(const std::string& request, time_point now);
    void on_crash(time_point now) { crashes_.push_back(now); }

    /** From `now` on, callers send no more requests with the crashing part. */
    void on_last_sent(time_point now) { last_sent_ = now; }

    /** `began` says whether the request began to run at its first attempt, and completed. */
    void on_request_end(const std::string& request, bool began);

    /** Returns the invariants that are violated; call it at the end. */
    std::vector<std::string> violations() const;

    /** Figures of the test in one line. */
    std::string summary() const;

private:
    struct sent_prompt {
        prompt parts;
        time_point sent;
        bool has_ended = false;
        bool began = false;
    };
    struct begun_share {
        int ended = 0;
        int began = 0;
        double share() const { return ended == 0 ? 0 : static_cast<double>(began) / ended; }
    };

    time_point bound() const;
    std::size_t late_arrivals() const;
    begun_share sound_requests(bool shares_first_part) const;

    std::map<std::string, sent_prompt> requests_;
    std::vector<time_point> arrivals_; // of requests with the crashing part
    std::vector<time_point> crashes_;
    time_point last_sent_ = time_point::max();
};

/** First part of the prompts that have the crashing part, and of some sound ones. */
inline constexpr const char* crashing_first_part = "a1";
inline constexpr const char* sound_first_part = "b1";

} // namespace camphorgrade::soak
