#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** What a request asks for. */
enum class request_class : std::uint8_t {
    plan,    /**< A stream that runs at most once. */
    answer,  /**< A stream that may be resumed. */
    booking, /**< Runs at most once. */
    report   /**< May be repeated. */
};

/** What operators hold of a request's key, when the request is sent. */
enum class key_state : std::uint8_t {
    valid,
    withdrawn, /**< Long enough ago that every process in touch must know. */
    unsettled  /**< Changed a moment ago, or on a path with faults. */
};

/** A request as its caller sent it. */
struct sent_request {
    std::string id;
    request_class what = request_class::report;
    std::string method;
    std::string target;
    std::string body;
    std::string account;
    std::uint64_t tokens = 0;
    duration deadline{};
    time_point sent;
    key_state key = key_state::valid;
};

/** A request as a backend server received it and began to run it. */
struct server_run {
    std::string request;
    std::string server;
    std::string service;
    std::string method;
    std::string target;
    std::string body;
    std::string account;
    duration deadline{};
    bool has_key = false; /**< A caller's key was passed on. */
    time_point at;
};

/** How a request ended for its caller. */
enum class caller_end : std::uint8_t {
    whole,   /**< A success, whole and right. */
    refused, /**< A status that promises that it did not run. */
    failed,  /**< Another failure status. */
    broken,  /**< The answer broke off. */
    closed,  /**< The connection ended without an answer. */
    left     /**< The caller left, or gave up waiting. */
};

/** Bounds that the run is held to. */
struct ledger_bounds {
    std::uint32_t max_attempts = 2;
    double retry_ratio = 0.2;
    double retry_slack = 50;
    duration retry_window{10'000};
    double account_rate = 0;
    double account_burst = 0;
    double quota_overage = 0.1;
    double quota_slack = 110'000;
    duration quota_window{8'000};
};

/**
 * What callers and backend servers saw, and which promises were broken by it. Not thread safe.
 */
class ledger {
public:
    explicit ledger(ledger_bounds bounds) : bounds_(bounds) {}

    void on_sent(const sent_request& request);

    /** A request reached a server of `service`, whether it runs there or not. */
    void on_arrival(const std::string& request, const std::string& service, time_point now);

    /** A request begins to run. */
    void on_run(const server_run& run);

    /** `text` names the run's answer; a caller may get no other one. */
    void on_answer(const std::string& request, const std::string& seal);

    bool is_answer_of(const std::string& request, const std::string& seal) const;

    void on_end(const std::string& request, caller_end how, int status, time_point now);

    /** A promise was broken that only the reporter can see. */
    void violate(const std::string& promise, const std::string& detail);

    /** Checks what only the whole run shows. */
    void check_totals();

    const std::vector<std::string>& violations() const noexcept { return violations_; }

    std::size_t runs_of(const std::string& request) const;

    /** Requests with a valid key, sent in [from, to), that ended as `how`. */
    std::size_t ended(caller_end how, time_point from, time_point to) const;

    /** Those that ended by their caller's leaving or over their account's rate left out: the rest.
     */
    std::size_t answered(time_point from, time_point to) const;

private:
    struct entry {
        sent_request request;
        std::vector<server_run> runs;
        std::set<std::string> seals;
        bool has_ended = false;
        caller_end how = caller_end::left;
        int status = 0;
    };
    struct arrival {
        time_point at;
        bool is_repeat = false;
    };
    struct token_use {
        time_point sent;
        time_point ran;
        std::uint64_t tokens = 0;
    };

    void check_run(const entry& of, const server_run& run);
    void check_retries();
    void check_quota();

    ledger_bounds bounds_;
    std::map<std::string, entry> entries_;
    std::map<std::string, std::set<std::string>> arrived_;      // requests by service
    std::map<std::string, std::vector<arrival>> arrivals_;      // by service
    std::map<std::string, std::vector<time_point>> asked_;      // by service
    std::map<std::string, std::vector<token_use>> used_tokens_; // by account
    std::vector<std::string> violations_;
};

/** Service that a request is routed to. */
std::string service_of(request_class what);

/** Whether a request may run more than once. */
bool may_repeat(request_class what);

} // namespace camphorgrade::soak
