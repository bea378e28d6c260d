#pragma once

#include "crash_ledger.h"
#include "lost_rule.h"
#include "response_ledger.h"

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

/** Kind of a request; each has a route of its own. */
enum class request_class : std::uint8_t {
    plan,    /**< A streamed response; runs at most once. */
    answer,  /**< A streamed response that may be resumed on another server. */
    booking, /**< A plain response; runs at most once. */
    report   /**< A plain response; idempotent, so it may run more than once. */
};

/** State of a request's API key at the time the request is sent. */
enum class key_state : std::uint8_t {
    valid,
    revoked,  /**< Revoked long enough ago that every connected process must have received it. */
    uncertain /**< Changed recently, or sent on a path with faults. */
};

/** A request as the caller sent it. */
struct sent_request {
    std::string id;
    std::uint64_t number = 0; /**< Counted by its caller. */
    request_class kind = request_class::report;
    std::string method;
    std::string target;
    std::string body;
    std::string account;
    std::uint64_t tokens = 0;
    prompt parts; /**< Of a stream. */
    duration deadline{};
    std::size_t gateway = 0; /**< Number of the gateway that the caller uses. */
    time_point sent;
    key_state key = key_state::valid;
};

/** One run of a request, as the backend server received it. */
struct server_run {
    std::string request;
    std::string server;
    std::string service;
    std::string method;
    std::string target;
    std::string body;
    bool has_body = true; /**< Whether the server had read the body when it started the run. */
    std::string account;
    duration deadline{};
    bool has_key = false; /**< Whether the caller's API key was forwarded. */
    time_point at;
};

/** How a request ended for its caller. */
enum class request_outcome : std::uint8_t {
    complete,  /**< A complete and successful response. */
    refused,   /**< A status that guarantees that the request did not run. */
    failed,    /**< Any other error status. */
    truncated, /**< The response ended early. */
    closed,    /**< The connection closed without a response. */
    abandoned  /**< The caller disconnected or timed out. */
};

/** What became of the requests with which callers took streams up again. A value type. */
struct resumption_counts {
    std::size_t streams = 0; /**< Taken up at least once; `sent` counts each time. */
    std::size_t sent = 0;
    std::size_t continued = 0; /**< Brought at least one event, or the end of the stream. */
    std::size_t refused = 0;
    std::size_t crossed = 0; /**< Continued at another software version. */

    /** Of those that were continued; the rest were left by their callers. */
    std::size_t completed = 0;
    std::size_t broken_again = 0;

    /** Of those that were neither continued nor refused; the rest were open at the end. */
    std::size_t broken_before_event = 0; /**< A response began. */
    std::size_t closed = 0;              /**< Without a response. */
    std::size_t failed = 0;              /**< With another error status. */
    std::size_t abandoned = 0;           /**< By their callers. */

    /** Of `broken_again`, `broken_before_event` and `closed`: those without a fault of the entry,
        or of its links to callers and to the store, while they were open. */
    std::size_t broken_on_sound_paths = 0;

    /** Records the end of a request that took a stream up again. */
    void on_end(request_outcome outcome, bool has_new_event, bool is_path_sound);

    /** All counts in one line. */
    std::string summary() const;
};

/** Limits that a soak test checks. */
struct ledger_bounds {
    std::uint32_t max_attempts = 2;
    /** Streams that may go on at another software version over their callers' requests. */
    std::size_t max_crossed_streams = 2;
    double retry_ratio = 0.2; /**< Allowed retries for each request sent in a window. */
    double retry_slack = 50;  /**< Retries allowed in a window in addition. */
    duration retry_window{10'000};
    double account_rate = 0;      /**< Tokens per second. */
    double account_burst = 0;     /**< Tokens. */
    double quota_overage = 0.1;   /**< Allowed excess over rate and burst, as a share. */
    double quota_slack = 110'000; /**< Tokens allowed in a window in addition. */
    duration quota_window{8'000};
};

/**
 * Records what callers and backend servers observe of each request, and reports the invariants
 * that the observations violate. Not thread safe.
 */
class ledger {
public:
    explicit ledger(ledger_bounds bounds) : bounds_(bounds) {}

    /** Records that a caller sends `request`. */
    void on_sent(const sent_request& request);

    /** Records that a request reached `server` of `service`, whether it runs there or not. */
    void on_arrival(const std::string& request, const std::string& server,
                    const std::string& service, time_point now);

    /** Records that a request starts to run, and checks the run. */
    void on_run(const server_run& run);

    /** Checks the body of a request that a server read after the start of its run. */
    void check_late_body(const std::string& request, const std::string& body);

    response_ledger& responses() noexcept { return responses_; }
    crash_ledger& crashes() noexcept { return crashes_; }
    resumption_counts& resumptions() noexcept { return resumptions_; }
    lost_figures& lost() noexcept { return lost_; }

    /** Adds a line on a request that took a stream up again. */
    void trace_resumption(std::string line) { resumption_trace_.push_back(std::move(line)); }
    const std::vector<std::string>& resumption_trace() const noexcept { return resumption_trace_; }

    /** Records how a request ended for its caller. */
    void on_request_end(const std::string& request, request_outcome outcome, int status,
                        time_point now);

    /** Reports a violation that only the caller of this function can detect. */
    void report_violation(const std::string& invariant, const std::string& detail);

    /** Checks the limits on retries and tokens, which need the records of the complete run. */
    void check_aggregate_limits();

    const std::vector<std::string>& violations() const noexcept { return violations_; }

    /** Number of runs of a request. */
    std::size_t run_count(const std::string& request) const;

    /** Counts the requests with a valid key, sent in [from, to), that ended with `outcome`. */
    std::size_t count_ended(request_outcome outcome, time_point from, time_point to) const;

    /**
     * Counts the requests with a valid key, sent in [from, to), that ended in any way, except those
     * that their caller abandoned or that exceeded their account's rate.
     */
    std::size_t count_answered(time_point from, time_point to) const;

    /** Number of requests that reached `server` in [from, to), except through the gateways
        `excluded`. */
    std::size_t count_arrivals(const std::string& server, time_point from, time_point to,
                               const std::set<std::size_t>& excluded = {}) const;

    /** The most requests that reached `server` within `window`, from `from` on, except through the
        gateways `excluded`. */
    std::size_t max_arrivals(const std::string& server, time_point from, duration window,
                             const std::set<std::size_t>& excluded = {}) const;

private:
    struct request_record {
        sent_request request;
        std::vector<server_run> runs;
        bool has_ended = false;
        request_outcome outcome = request_outcome::abandoned;
        int status = 0;
    };
    struct arrival {
        time_point at;
        bool is_retry = false;
    };
    struct server_arrival {
        time_point at;
        std::size_t gateway = 0;
    };
    struct token_charge {
        time_point sent;
        time_point started;
        std::uint64_t tokens = 0;
    };

    void check_run(const request_record& record, const server_run& run);
    void check_retries();
    void check_quota();

    ledger_bounds bounds_;
    std::map<std::string, request_record> requests_;
    std::map<std::string, std::set<std::string>> arrived_requests_;      // by service
    std::map<std::string, std::vector<arrival>> arrivals_;               // by service
    std::map<std::string, std::vector<server_arrival>> server_arrivals_; // by server
    std::map<std::string, std::vector<time_point>> sent_times_;          // by service
    std::map<std::string, std::vector<token_charge>> token_charges_;     // by account
    response_ledger responses_;
    crash_ledger crashes_;
    resumption_counts resumptions_;
    lost_figures lost_;
    std::vector<std::string> resumption_trace_;
    std::vector<std::string> violations_;
};

/** Service that the requests of a kind are routed to. */
std::string route_service(request_class kind);

/** Whether a request of this kind may run more than once. */
bool is_repeatable(request_class kind);

} // namespace camphorgrade::soak
