#pragma once

#include <kernel/clock.h>
#include <kernel/random.h>
#include <serving/account_limiter.h>
#include <serving/backend_registry.h>
#include <serving/crash_register.h>
#include <serving/placement.h>
#include <serving/request_metadata.h>
#include <serving/retry_limiter.h>
#include <serving/service_catalogue.h>
#include <serving/store_recovery_estimator.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::serving {

/** Names a request within one process. */
using request_handle = std::uint64_t;

/** Why a request ends without a backend server's answer. */
enum class end_reason : std::uint8_t {
    no_catalogue, /**< Nothing is known yet of what operators declared. */
    no_route,
    unknown_key,
    over_rate,       /**< The client account's rate and burst are used up. */
    quarantined,     /**< It broke several backend servers. */
    no_backend,      /**< No backend server takes work. */
    no_capacity,     /**< It could not be served in time. */
    refused,         /**< Backend servers refused it, and no further try is allowed. */
    timed_out,       /**< Its time ran out before it was sent. */
    timed_out_sent,  /**< Its time ran out at a backend server: it may have run. */
    shutting_down,   /**< This process stops; others take the request. */
    invalid_response /**< A backend server's answer broke off or was wrong: it may have run. */
};

/** Name of a reason as logs and metrics carry it. */
std::string_view to_string(end_reason reason) noexcept;

/** Whether a request that ends so provably didn't run. */
bool has_not_run(end_reason reason) noexcept;

/** The request ends with an answer of our own. A value type. */
struct end_request {
    request_handle request = 0;
    end_reason reason = end_reason::no_route;
    duration retry_after{};  /**< 0: none is said. */
    double refused_cost = 0; /**< What it would have been charged, where that was too much. */

    friend bool operator==(const end_request&, const end_request&) = default;
};

/** The request is to be sent to a backend server. A value type. */
struct send_attempt {
    request_handle request = 0;
    std::string backend_id;
    network_address address;
    std::uint64_t expected_version = 0; /**< Of the adapter's weights; 0: any. */
    int urgency = 0;                    /**< 0 is the most urgent. */
    std::uint32_t attempt_number = 1;   /**< Counts the attempts of this request. */
    duration queue_time{};              /**< Since the request arrived. */
    std::uint64_t prompt_tokens = 0;

    friend bool operator==(const send_attempt&, const send_attempt&) = default;
};

/** The request waits for its adapter at a backend server; told for the record. */
struct wait_for_weights {
    request_handle request = 0;
    std::string backend_id;
    duration time_to_first_byte{}; /**< Estimate. */

    friend bool operator==(const wait_for_weights&, const wait_for_weights&) = default;
};

using dispatch_effect = std::variant<end_request, send_attempt, wait_for_weights>;

/** How an attempt ended. */
enum class attempt_outcome : std::uint8_t {
    completed,       /**< The backend server's answer was passed on whole. */
    error_response,  /**< It ran and answered with an error. */
    refused,         /**< The backend server says that it did not run. */
    wrong_weights,   /**< Refused because another version, adapter or process is there. */
    unreachable,     /**< No connection: nothing was sent. */
    invalid_response /**< The connection broke, or the answer was wrong. */
};

/** Name of an outcome as logs and metrics carry it. */
std::string_view to_string(attempt_outcome outcome) noexcept;

/** What requests of one gateway have open for some weights at one backend server. */
struct open_demand {
    versioned_weights weights;
    std::uint32_t waiting = 0;
    std::uint32_t in_use = 0;
    duration oldest_wait{};
    int urgency = 0;              /**< Of the most urgent. */
    duration time_to_objective{}; /**< Of the waiting one that has most left; 0: too late. */

    friend bool operator==(const open_demand&, const open_demand&) = default;
};

/** Times and bounds of a dispatcher. */
struct dispatcher_settings {
    double usable_time_share = 0.9;     /**< Of the time left that an estimate may take up. */
    duration min_caller_timeout{2'000}; /**< Callers leave after a silence of this length, ... */
    int caller_timeout_objectives = 4;  /**< ... this many objectives, ... */
    int caller_timeout_pauses = 8;      /**< ... or this many pauses, whichever is longest. */
    duration first_byte_timeout{
        2'000}; /**< Without a first answer for so long, a server counts as failed. */
    duration placement_retry_interval{350}; /**< A request that waits longer is placed anew. */
    std::uint32_t max_refusals = 3;         /**< Backend servers that may refuse one request. */
    duration min_retry_after{100};
    duration max_retry_after{5'000};
    duration max_hold_off{600'000}; /**< A server that wants nothing for longer is asked anew. */
    account_limiter_settings limits;
    retry_limiter_settings retries;
    placement_settings placing;
    store_recovery_estimator_settings outlook;

    friend bool operator==(const dispatcher_settings&, const dispatcher_settings&) = default;
};

/**
 * Decides for each request of a gateway: admitted or refused, where it goes, when it is sent, and
 * whether it is tried again. Time and events go in, effects come out; it does no input or output.
 * Deterministic for one seed. Not thread safe.
 */
class dispatcher {
public:
    dispatcher(dispatcher_settings settings, std::string own_data_centre, std::uint64_t seed);

    void set_catalogue(service_catalogue catalogue, time_point now);
    /** A version never goes back. */
    void set_adapter_version(const std::string& weights, std::uint64_t version);

    const catalogue_index* catalogue() const noexcept { return catalogue_.get(); }
    const adapter_versions& versions() const noexcept { return versions_; }
    backend_registry& backends() noexcept { return board_; }
    const backend_registry& backends() const noexcept { return board_; }
    account_limiter& limiter() noexcept { return limiter_; }
    crash_register& crashes() noexcept { return crashes_; }
    store_recovery_estimator& store_recovery() noexcept { return outlook_; }

    /** Admits or refuses a request; effects say what becomes of it. */
    request_handle on_request(request_metadata profile, std::uint64_t content, time_point now);

    /** The head of an answer came: what waits for a server that leaves or holds off goes
        elsewhere. */
    void on_response_head(request_handle id, const response_metadata& answer, time_point now);

    /** The first event or the whole answer came: its prompt is read. */
    void on_first_byte(request_handle id, time_point now);

    /** An attempt ended; effects may hold another one, or the end. */
    void on_attempt_ended(request_handle id, attempt_outcome outcome, time_point now);

    /** The caller left, or the answer was passed on: forgets the request. */
    void release(request_handle id, time_point now);

    /** Sends what waited for weights that are there now. */
    void on_engine_state(const std::string& backend_id, engine_state state, time_point now);

    /** Ends what has run out of time, places anew what waits too long. */
    void tick(time_point now);

    /** What is to be done, in order; empties the list. */
    std::vector<dispatch_effect> take_effects();

    /** What is open at each backend server for adapters and models, by its id. */
    std::map<std::string, std::vector<open_demand>> open_demand_by_backend(time_point now) const;

    /** Account that a request is charged to; empty for a public route. */
    std::string account_of(request_handle id) const;
    /** Backend server where the request was sent or waits; empty when there is none. */
    std::string backend_of(request_handle id) const;
    const route* route_of(request_handle id) const;
    time_point deadline_of(request_handle id) const;

    /** Requests that were admitted and not released. */
    std::size_t open_requests() const noexcept { return requests_.size(); }
    std::size_t waiting_requests() const;

private:
    enum class phase : std::uint8_t { placing, waiting, sent, ended };

    struct request {
        request_metadata profile;
        std::uint64_t content = 0;
        std::shared_ptr<const catalogue_index> catalogue; // shared with later versions' requests
        const route* on_route = nullptr;
        std::string service;
        std::string account;
        double cost = 0;         /**< Charged. */
        double refused_cost = 0; /**< Not charged: it was too much. */
        int urgency = 0;
        std::uint64_t version = 0;
        time_point arrived;
        time_point deadline;
        time_point placed;
        time_point sent;
        std::uint64_t unread_tokens = 0;
        duration expected{}; /**< From sending to the first answer, at usual speed. */
        std::uint32_t attempts = 0;
        std::uint32_t refusals = 0;
        bool may_have_run = false;
        phase at = phase::placing;
        bool has_first_answer = false;
        std::string backend_id;
        versioned_weights waits_for;
        std::set<std::string> excluded;
    };

    std::optional<end_reason> check(request& of, duration& retry_after, time_point now);
    std::optional<end_reason> identify(request& of) const;
    std::string pick_service(const route& from);
    void place(request_handle id, request& of, time_point now);
    /** Places anew what waits for weights at a server that takes no work now. */
    void place_elsewhere(const std::string& backend_id, time_point now);
    void end_unplaced(request_handle id, request& of, const no_placement& why, time_point now);
    void send(request_handle id, request& of, const placement& to, time_point now);
    void wait(request_handle id, request& of, const placement& to, time_point now);
    void end(request_handle id, request& of, end_reason reason, duration retry_after = {});
    void leave_backend(request& of);
    void note_silence(const request& of, time_point now);
    duration expected_answer(const request& of, const backend_view& view, time_point now) const;
    void try_again(request_handle id, request& of, attempt_outcome outcome, time_point now);
    duration patience(const request& of) const;
    duration retry_after(duration estimate);
    duration retry_when_complete(time_point now);

    dispatcher_settings settings_;
    random_source random_;
    std::shared_ptr<const catalogue_index> catalogue_;
    adapter_versions versions_;
    backend_registry board_;
    account_limiter limiter_;
    retry_limiter retries_;
    crash_register crashes_;
    store_recovery_estimator outlook_;
    placement_chooser chooser_;
    std::map<request_handle, request> requests_;
    std::vector<dispatch_effect> effects_;
    request_handle next_ = 1;
};

} // namespace camphorgrade::serving
