#pragma once

#include "stream_player.h"
#include "stream_script.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::entry::stream_test {

/** One played request. A value type. */
struct played_request {
    request_script script;
    std::vector<made_response> runs; /**< In the order of the attempts. */
    caller_view seen;

    friend bool operator==(const played_request&, const played_request&) = default;
};

/** The rule that a response broke. */
enum class violation : std::uint8_t {
    none,
    hung,                /**< Neither finished nor aborted. */
    two_runs,            /**< A request that may run once only was sent again. */
    foreign_bytes,       /**< Bytes that aren't a whole event of the present or a later run. */
    skipped_event,       /**< An event of a run is missing between or before its others. */
    ids_not_rising,      /**< Ids don't rise where runs were joined, or within a run. */
    wrong_position,      /**< An attempt was asked to go on at another place. */
    incomplete_finished, /**< Finished although the last run's body or event wasn't complete. */
    false_promise,       /**< "Not run" although an attempt may have run. */
    altered_response,    /**< A plain response that no attempt made whole. */
    whole_response_lost  /**< The first attempt's response was whole, but isn't the caller's. */
};

inline bool may_have_run(const made_response& run) {
    return !run.is_known_not_run();
}

/** Whether the response may be forwarded as an event stream. */
inline bool is_stream_run(const played_request& played, const made_response& run) {
    return played.script.is_event_stream && run.script.reply == reply_kind::run;
}

/** Follows the events that the caller has through the runs that made them. */
class event_follower {
public:
    explicit event_follower(const played_request& played) : played_(played) {}

    violation follow() {
        std::string_view rest = played_.seen.body;
        while (!rest.empty()) {
            const auto size = take(rest);
            if (found_ != violation::none) {
                return found_;
            }
            rest.remove_prefix(size);
        }
        return violation::none;
    }

    /** Number of events that the caller has of a run. */
    std::size_t count_of(std::size_t run) const { return run == run_ ? next_ : 0; }
    /** Position after the events of the runs before `run`; empty if they had none. */
    std::optional<std::uint64_t> position_before(std::size_t run) const {
        std::optional<std::uint64_t> position;
        for (const auto& [from, id] : ids_) {
            position = from < run ? id : position;
        }
        return position;
    }

private:
    /** Takes the next event, and returns its size. */
    std::size_t take(std::string_view rest) {
        for (auto run = run_; run < played_.runs.size(); ++run) {
            if (!is_stream_run(played_, played_.runs[run])) {
                continue;
            }
            const auto& events = played_.runs[run].events;
            const auto event =
                std::find_if(events.begin(), events.end(), [&](const run_event& each) {
                    return rest.substr(0, each.bytes.size()) == each.bytes;
                });
            if (event != events.end()) {
                check_order(run, static_cast<std::size_t>(event - events.begin()), event->id);
                return event->bytes.size();
            }
        }
        found_ = violation::foreign_bytes;
        return 0;
    }

    void check_order(std::size_t run, std::size_t index, std::optional<std::uint64_t> id) {
        const bool is_join = run != run_ && !ids_.empty();
        if (index != (run == run_ ? next_ : 0)) {
            found_ = violation::skipped_event;
        } else if (is_join ? !are_rising_ || !id || !rises(id) : run == run_ && !rises(id)) {
            found_ = violation::ids_not_rising;
        }
        are_rising_ = are_rising_ && id && (ids_.empty() || *id > ids_.back().id.value_or(*id));
        ids_.push_back({run, id});
        run_ = run;
        next_ = index + 1;
    }

    /** Whether an event of the present run may follow the last one, by their ids if both have one.
     */
    bool rises(std::optional<std::uint64_t> id) const {
        const auto last = ids_.empty() ? std::nullopt : ids_.back().id;
        return !id || !last || *id > *last;
    }

    struct event_id {
        std::size_t run = 0;
        std::optional<std::uint64_t> id;
    };

    const played_request& played_;
    std::size_t run_ = 0;
    std::size_t next_ = 0;
    std::vector<event_id> ids_;
    bool are_rising_ = true;
    violation found_ = violation::none;
};

/** Whether nothing shows that a response is a stream: it ends with its connection, and has no
    event. */
inline bool is_empty_unframed(const made_response& run) {
    return run.script.framing == body_framing::until_close && run.events.empty();
}

/** Whether the last run's body was complete, ended with a whole event, and the caller has it. */
inline bool is_rightly_finished(const played_request& played, const event_follower& followed) {
    if (played.runs.empty()) {
        return false;
    }
    const auto& last = played.runs.back();
    if (!is_stream_run(played, last) || !last.is_complete()) {
        return false;
    }
    const auto whole = last.whole_events(last.complete_body());
    return whole && !is_empty_unframed(last) && followed.count_of(played.runs.size() - 1) == *whole;
}

inline violation check_stream(const played_request& played) {
    event_follower followed(played);
    const auto broken = followed.follow();
    if (broken != violation::none) {
        return broken;
    }
    if (played.seen.is_finished && !is_rightly_finished(played, followed)) {
        return violation::incomplete_finished;
    }
    for (std::size_t i = 0; i < played.runs.size(); ++i) {
        const auto forwarded = followed.position_before(i);
        const auto expected = forwarded ? forwarded : played.script.caller_position;
        if (played.runs[i].asked_position != expected) {
            return violation::wrong_position;
        }
    }
    return violation::none;
}

inline violation check_answer(const played_request& played) {
    const auto& seen = played.seen;
    constexpr std::array promising{408, 421, 429, 503};
    if (seen.body.find("{\"error\":{\"type\":") == 0) {
        const bool promises =
            std::find(promising.begin(), promising.end(), seen.status) != promising.end() ||
            seen.body.find("not_run") != std::string::npos;
        const bool may_run = std::any_of(played.runs.begin(), played.runs.end(), may_have_run);
        return promises && may_run ? violation::false_promise : violation::none;
    }
    const bool is_made = std::any_of(played.runs.begin(), played.runs.end(), [&](const auto& run) {
        const bool is_forwardable =
            run.script.reply == reply_kind::error ||
            (run.script.reply == reply_kind::run && !played.script.is_event_stream);
        return is_forwardable && run.is_complete() && run.status == seen.status &&
               run.complete_body() == seen.body;
    });
    return is_made ? violation::none : violation::altered_response;
}

/** Whether a run's ids go back, so that an event of it may be repeated or another run's. */
inline bool has_falling_ids(const made_response& run) {
    return run.script.ids == id_style::falling && run.events.size() > 1;
}

/** Whether the first attempt's response, a run's, is whole and sent by an orderly server. */
inline bool is_first_whole(const played_request& played) {
    const auto& first = played.runs.front();
    const bool is_sent = first.script.reply == reply_kind::run &&
                         first.sent_bytes == first.wire.size() &&
                         first.script.close == close_style::orderly;
    return is_sent && (!played.script.is_event_stream ||
                       (first.script.lines == line_end::lf && !first.script.has_open_end &&
                        !has_falling_ids(first) && !is_empty_unframed(first)));
}

/** The rule that the caller's response breaks. */
inline violation check(const played_request& played) {
    const auto& seen = played.seen;
    if (seen.is_finished == seen.is_aborted) {
        return violation::hung;
    }
    if (!played.script.is_retryable() &&
        std::count_if(played.runs.begin(), played.runs.end(), may_have_run) > 1) {
        return violation::two_runs;
    }
    const auto broken = seen.is_answer ? check_answer(played) : check_stream(played);
    if (broken != violation::none) {
        return broken;
    }
    const bool is_lost = !played.runs.empty() && is_first_whole(played) &&
                         (!seen.is_finished || seen.body != played.runs.front().body);
    return is_lost ? violation::whole_response_lost : violation::none;
}

inline std::string_view to_string(violation broken) {
    switch (broken) {
    case violation::none:
        return "none";
    case violation::hung:
        return "hung";
    case violation::two_runs:
        return "two runs";
    case violation::foreign_bytes:
        return "bytes that no run made whole";
    case violation::skipped_event:
        return "skipped event";
    case violation::ids_not_rising:
        return "ids not rising at a join";
    case violation::wrong_position:
        return "wrong position asked for";
    case violation::incomplete_finished:
        return "incomplete response finished";
    case violation::false_promise:
        return "false promise of not run";
    case violation::altered_response:
        return "altered plain response";
    case violation::whole_response_lost:
        return "whole response lost";
    }
    return "unknown";
}

} // namespace camphorgrade::entry::stream_test
