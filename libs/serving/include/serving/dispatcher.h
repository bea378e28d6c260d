#pragma once

#include <kernel/clock.h>
#include <kernel/random.h>
#include <serving/account_limiter.h>
#include <serving/backend_registry.h>
#include <serving/cold_servers.h>
#include <serving/crash_register.h>
#include <serving/crashing_parts.h>
#include <serving/dispatch_effects.h>
#include <serving/evacuation_state.h>
#include <serving/fleet_checkpoint.h>
#include <serving/permit_exchange.h>
#include <serving/placement.h>
#include <serving/request_metadata.h>
#include <serving/retry_limiter.h>
#include <serving/route_history.h>
#include <serving/server_limits.h>
#include <serving/server_speeds.h>
#include <serving/service_catalogue.h>
#include <serving/software_exchange.h>
#include <serving/software_versions.h>
#include <serving/store_recovery_estimator.h>
#include <serving/stream_origins.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::serving {

/** Unfinished requests of one gateway for one set of weights at one backend server. A value
    type. */
struct open_demand {
    versioned_weights weights;
    std::uint32_t waiting = 0;    /**< Requests that wait for the weights. */
    std::uint32_t in_use = 0;     /**< Requests that were sent and haven't ended. */
    duration oldest_wait{};       /**< Time since the oldest waiting request arrived. */
    int urgency = 0;              /**< Urgency of the most urgent request; lower is more urgent. */
    duration time_to_objective{}; /**< Time until the latest latency objective of the waiting
                                       requests; 0: all are late. */

    friend bool operator==(const open_demand&, const open_demand&) = default;
};

/** Timeouts and limits of a dispatcher. Durations are in milliseconds. */
struct dispatcher_settings {
    /** Share of the time left until the deadline that the estimated time to the first byte may
        take; a request with a longer estimate ends. */
    double usable_time_share = 0.9;
    /** Lower bound of the caller timeout, the time without output after which a caller is assumed
        to disconnect. The highest of this bound and the next two applies. */
    duration min_caller_timeout{2'000};
    /** Lower bound of the caller timeout, as a multiple of the route's latency objective. */
    int caller_timeout_objectives = 4;
    /** Lower bound of the caller timeout, as a multiple of the route's longest_pause. */
    int caller_timeout_pauses = 8;
    /** A server counts as failed if it has sent no first byte for at least this time when the
        request's deadline passes or its caller disconnects. */
    duration first_byte_timeout{2'000};
    /** A request that waits longer for weights is placed again. */
    duration placement_retry_interval{350};
    /** Maximum number of attempts of a request that were refused or never connected; one more ends
        the request. */
    std::uint32_t max_refusals = 3;
    /** Lower bound of the Retry-After in the gateway's own responses. */
    duration min_retry_after{100};
    /** Upper bound of the Retry-After, unless backend servers hold off for longer. */
    duration max_retry_after{5'000};
    /** Upper bound for a backend server's Retry-After. */
    duration max_hold_off{600'000};
    /** How long a request waits for the origin of the stream that it resumes. */
    duration origin_answer_timeout{150};
    /** A stream that a caller resumes began at most this many times its route's timeout ago, and
        `stream_age_margin`. */
    int stream_age_timeouts = 2;
    duration stream_age_margin{3'000};
    /** Time between two removals of what is known of servers that are gone. */
    duration ended_server_interval{1'000};
    /** Time between two looks at the software versions of all servers. */
    duration version_observation_interval{200};
    /** Bounds of the wait that is reserved for a request over its account's rate: shares of the
       time until its deadline and of its latency objective. */
    double longest_return_time_share = 0.33;
    double longest_return_objective_share = 0.6;
    account_limiter_settings limits;
    retry_limiter_settings retries;
    placement_settings placement_estimates;
    store_recovery_estimator_settings store_recovery;
    crashing_parts_settings crashing_parts;
    server_limits_settings server_limits;
    permit_exchange_settings permits;
    stream_origins_settings origins;
    server_speeds_settings speeds;
    software_versions_settings software;
    software_exchange_settings software_exchange;

    friend bool operator==(const dispatcher_settings&, const dispatcher_settings&) = default;
};

/**
 * Decides for each request of a gateway whether it is admitted, which backend server gets it,
 * when it is sent and whether it is retried. Takes the time and events as input and returns
 * effects; performs no I/O. Deterministic for one seed. Not thread safe.
 */
class dispatcher {
public:
    dispatcher(dispatcher_settings settings, std::string own_data_centre, std::uint64_t seed);

    /** Sets the catalogue for requests that arrive from now on. One that is not newer than the
        known one is ignored. */
    void set_catalogue(service_catalogue catalogue, time_point now);
    /** The registrations known here are the store's as of the end of `known`, and none of this
        period is missing. */
    void on_registrations_known(const registration_period& known) { registrations_known_ = known; }
    /** A backend server has registered, or changed its registration. Returns whether it becomes
        cold with it and is limited for that. */
    bool on_registration(const backend_server& server, time_point now);
    /** Sets the version of `weights` that requests must run on. A version lower than the known one
        is ignored. */
    void set_adapter_version(const std::string& weights, std::uint64_t version);

    /** Evacuates the data centres of `state` and takes all others back into service: requests that
        wait there are placed again, sent ones go on. A state that isn't newer than the known one is
        ignored. Returns whether the evacuated data centres changed. */
    bool set_evacuations(const evacuation_state& state, time_point now);
    /** The newest known state; empty until one is known. */
    const std::optional<evacuation_state>& evacuations() const noexcept { return evacuations_; }

    const catalogue_index* catalogue() const noexcept { return catalogue_.get(); }
    const adapter_versions& versions() const noexcept { return versions_; }
    backend_registry& backends() noexcept { return backends_; }
    const backend_registry& backends() const noexcept { return backends_; }
    account_limiter& limiter() noexcept { return limiter_; }
    crash_register& crashes() noexcept { return crashes_; }
    crashing_parts& parts() noexcept { return parts_; }
    const crashing_parts& parts() const noexcept { return parts_; }
    const server_limits& limits() const noexcept { return limits_; }
    const cold_servers& cold() const noexcept { return cold_; }
    /** Whether any server has a request limit, so that permits are exchanged. */
    bool has_limited_servers() const { return !effective_limits_.is_empty(); }
    const permit_exchange& permits() const noexcept { return permits_; }
    store_recovery_estimator& store_recovery() noexcept { return store_recovery_; }

    /** Admits or refuses a request; take_effects() returns the outcome. `fingerprint` is the
        request's crash_register::fingerprint(). */
    request_handle on_request(request_metadata metadata, std::uint64_t fingerprint, time_point now);

    /** The head of a response arrived. If the server is shutting down or sent Retry-After,
        requests that wait for weights there are placed again. Must be called for each head, because
        a response without a request limit ends the limit. */
    void on_response_head(request_handle id, const response_metadata& head, time_point now);

    /** The first event of a stream or the complete response arrived: the server has processed
        the prompt. */
    void on_first_byte(request_handle id, time_point now);

    /** Another gateway tells origins of streams: sends the requests that wait for them. */
    void on_origin_records(const origin_records& records, time_point now);

    /** Another gateway asks for origins of streams; take_origin_messages() has the answer. */
    void on_origin_query(const std::string& peer, const origin_query& query, time_point now) {
        origins_.on_query(peer, query, now);
    }

    /** Messages about origins of streams to send to other gateways. */
    std::vector<origin_message> take_origin_messages(time_point now);

    /** Sets the other gateways and the engines' agents, "ip:port" each, that keep the history of
        software versions with this gateway. */
    void set_software_peers(const std::string& own, const std::vector<std::string>& gateways,
                            const std::vector<std::string>& agents);

    /** Another gateway or an agent tells of software versions: sends the requests that wait for
        it. */
    void on_software_message(const std::string& from, const software_message& message,
                             time_point now);

    /** Messages about software versions to send to other gateways and to agents. */
    std::vector<addressed_software_message> take_software_messages(time_point now) {
        return software_exchange_.take_messages(now);
    }

    /** What the store is to hold of the recent past, as of `position`, to which the registrations
        known here belong. Empty if no stream can be resumed, or the past isn't known. */
    std::optional<fleet_checkpoint> checkpoint(const store_position& position, time_point now);

    /** Whether no software version that a stream may have begun at can be unknown here; also true
        if no stream can be resumed. */
    bool knows_past(time_point now);

    /** The store told what served before this process started: sends the requests that wait for
        it. */
    void on_history_recovered(const recovered_history& history, time_point now);

    /** Whether nobody is left to be asked for the history of software versions. Until then, a
        refused caller is told to come back soon. */
    void set_history_final(bool is_final) { is_history_final_ = is_final; }

    /** Origins of streams begun here that several gateways must know, since the last call. */
    std::vector<origin_record> take_shared_origins() { return origins_.take_shared(); }

    /** The response to the caller can't be continued: the request ends when its present attempt
        fails. */
    void forbid_retry(request_handle id);

    /** An attempt ended. The effects may contain a retry or the end of the request. */
    void on_attempt_ended(request_handle id, attempt_outcome outcome, time_point now);

    /** Forgets a request whose caller disconnected or received the response. */
    void release(request_handle id, time_point now);

    /** Handles an agent's report: sends the requests whose weights have been loaded, or places the
        waiting requests again if the server was replaced or accepts none. */
    void on_engine_state(const std::string& backend_id, engine_state state, time_point now);

    /** Applies what a peer observed of a server's request limit. */
    void on_limit_report(const std::string& peer, const limit_report& report, time_point now);

    /** Observations of request limits for the next report to the peers. */
    std::vector<limit_report> next_limit_reports(bool is_complete, time_point now) {
        return limits_.next_reports(is_complete, now);
    }

    /** Sets this gateway's address, the live gateways that share request limits, retries and trials
        of parts, itself included, and all other gateways that are known, live or not. */
    void set_gateways(const std::string& own, const std::vector<std::string>& live,
                      const std::vector<std::string>& others, time_point now);

    /** Applies what a peer knows of parts that crash servers; ends requests with newly held
        parts. */
    void on_parts_report(const std::string& peer, const crashing_parts_report& report,
                         time_point now);

    /** Applies what a peer measured of the speeds of servers. */
    void on_speed_samples(const std::vector<speed_sample>& samples, time_point now);

    /** Speeds of servers that this gateway measured since the last call. */
    std::vector<speed_sample> take_speed_samples() { return speeds_.take_samples(); }

    /** A peer requests permits from this gateway. */
    void on_permit_requests(const std::string& peer, const permit_requests& requests,
                            time_point now) {
        permits_.on_requests(peer, requests, now);
    }

    /** A peer grants permits to this gateway: sends requests that wait for them. */
    void on_permit_grants(const std::string& peer, const permit_grants& grants, time_point now);

    /** Requests and grants permits; returns the messages to send. Sends requests whose permits this
        gateway grants itself. */
    std::vector<permit_message> exchange_permits(time_point now);

    /** When exchange_permits() must be called next; empty if only an event can make it
        necessary. */
    std::optional<time_point> next_permit_exchange_at(time_point now) const {
        return permits_.next_advance_at(now);
    }

    /**
     * This process is shutting down: every request, open or new, ends at `answer_by` at the latest,
     * and one that can't start before then is refused as not run.
     */
    void begin_shutdown(time_point answer_by);

    /** Ends requests past their deadline, and places requests again that have waited too long
        for weights. */
    void tick(time_point now);

    /** Returns the pending effects in order and clears them. */
    std::vector<dispatch_effect> take_effects();

    /** The limit on the retries of a service now, and what is used of it. */
    retry_usage retry_usage_of(const std::string& service, time_point now) {
        return retries_.usage(service, now);
    }

    /** Returns the decisions on retries since the last call, in order, and clears them. */
    std::vector<retry_decided> take_retry_decisions();

    /** Unfinished requests for adapters and base models, by backend server id. */
    std::map<std::string, std::vector<open_demand>> open_demand_by_backend(time_point now) const;

    /** Account that a request is charged to; empty if there is none or the request is unknown. */
    std::string account_of(request_handle id) const;
    /** Backend server to which the request was last sent or where it last waited; empty if there
        is none. */
    std::string backend_of(request_handle id) const;
    /** Route of a request, valid until release(); null if none matched or the request is
        unknown. */
    const route* route_of(request_handle id) const;
    /** Deadline of a request; the default time point if it has none or is unknown. */
    time_point deadline_of(request_handle id) const;

    /** Number of requests that have arrived and not been released. */
    std::size_t open_requests() const noexcept { return requests_.size(); }
    /** Number of requests that wait for weights. */
    std::size_t waiting_requests() const;

private:
    enum class phase : std::uint8_t {
        placing,
        resolving, /**< Waits for the origin of the stream that it resumes. */
        waiting,
        sent,
        ended
    };

    struct request {
        request_metadata metadata;
        std::uint64_t fingerprint = 0;
        std::shared_ptr<const catalogue_index> catalogue; // as of the request's arrival
        const route* found_route = nullptr;
        std::string service;
        std::string account;
        double cost = 0;                 /**< What the account was charged. */
        double refused_cost = 0;         /**< The charge that the account could not cover. */
        bool is_return_reserved = false; /**< Refused over the rate, with a time to return at. */
        int urgency = 0;
        std::uint64_t version = 0;
        time_point arrived;
        time_point deadline;
        time_point placed;
        time_point sent;
        std::uint64_t uncached = 0; /**< Prompt tokens that the server has yet to process. */
        /** Estimated time from sending to the first byte, at usual speed. */
        duration expected_first_byte{};
        std::uint32_t attempts = 0;
        std::uint32_t refusals = 0;
        bool may_have_run = false;
        bool is_retry_forbidden = false;
        bool has_reserved_retry = false; /**< Is to be sent again, and hasn't been yet. */
        phase state = phase::placing;
        bool has_first_byte = false;
        bool is_part_trial = false;    /**< Sent although a part of its prompt is held. */
        bool has_invalid_head = false; /**< The present response isn't the server's own. */
        std::string backend_id;
        server_process sent_to; /**< Process that the request was last sent to. */
        versioned_weights weights;
        std::set<std::string> excluded;
        /** Software version that began the stream; empty until its first event. */
        std::optional<std::string> stream_version;
        time_point resolve_by;         /**< Until when a request in phase `resolving` waits. */
        bool has_asked_origin = false; /**< Other gateways were asked which version began it. */
    };

    /** Records the request limit that a response to `entry` names, or its absence. */
    void record_limit(request_handle id, const request& entry, const response_metadata& head,
                      time_point now);
    /** Forgets the limits of server processes that are gone. */
    void erase_ended_limits(time_point now);
    void on_limit_changed(limit_changed effect, time_point now);
    /** Ends the limits of servers that have become warm. */
    void update_cold_servers(time_point now);
    /** Forgets what is known of servers that are gone, at most once in `ended_server_interval`. */
    void forget_ended_servers(time_point now);
    /** Sends the requests that wait at the server and have all that they wait for. */
    void send_waiting_requests(const std::string& backend_id, time_point now);
    /** A granter replied: sends requests that got a permit, and places again those whose wait was
        estimated without a reply. `previous_reply` is the time of the reply before. */
    void on_permit_reply(const server_process& server, time_point previous_reply, time_point now);
    /** Number of requests that wait at each server with a limit. */
    permit_demand waiting_for_permits() const;
    /** Whether the caller resumes a stream that an earlier request began. */
    static bool is_resumption(const request& entry);
    /** Key of the request's stream; 0 if its id isn't known. */
    static stream_key stream_of(const request& entry);
    /** Since when a stream that `matched` serves may have begun. */
    time_point oldest_stream(const route& matched, time_point now) const;
    void observe_software(time_point now);
    /** Looks at the software versions of all servers, once in `version_observation_interval`. */
    void observe_software_when_due(time_point now);
    /** Continues the streams whose origins are known now. */
    void continue_resolved_streams(time_point now);
    /** Sets the service and version at which the request's stream continues; empty if nothing
        tells them. */
    std::optional<origin_source> find_origin(request& entry, time_point now);
    /** The stream continues at the only version that has served. */
    void set_only_version(request& entry, time_point now) const;
    /** Whether one version of one service at most has served the route for as long as the stream
       can last, as far as this process knows. */
    bool seems_single_version(const request& entry, time_point now) const;
    /** Whether the history of versions since `since` is known up to now. */
    bool is_history_known(const request& entry, time_point now) const;
    /** Continues at the only version that anybody knows, if nobody has newer registrations. */
    bool continue_at_only_version(request_handle id, request& entry, time_point now);
    /** Places a request that resumes a stream once its version is known. Until then, asks other
        processes: for the history of versions, if it isn't known here or nobody has confirmed it,
        and for the origin. */
    void resume(request_handle id, request& entry, time_point now);
    void continue_stream(request_handle id, request& entry, origin_source source, time_point now);
    /** Asks other gateways, once, for the origin of the stream; false if nobody is asked. */
    bool ask_origin(request& entry, time_point now);
    void end_overdue_resumption(request_handle id, request& entry, time_point now);
    void end_unknown_stream(request_handle id, request& entry, time_point now);
    /** Time after which the stream of a refused request can be continued, as far as anybody knows.
     */
    duration unknown_stream_retry_after(const request& entry, time_point now);
    /** The effect that tells from what the version of the request's stream is known. */
    stream_resumption describe_resumption(request_handle id, const request& entry,
                                          origin_source source, time_point now) const;
    /** The first event of a stream is forwarded: fixes the version at which it may continue. */
    void record_origin(request& entry, time_point now);
    /** Charges the request to its account; returns the time until it may return instead. */
    std::optional<duration> charge(request& entry, time_point now);
    std::optional<end_reason> admit(request& entry, duration& retry_after, time_point now);
    std::optional<end_reason> resolve(request& entry) const;
    std::string choose_service(const route& matched);
    void place(request_handle id, request& entry, time_point now);
    /** Number of earlier requests that wait at the same backend server. */
    std::uint32_t waiting_ahead(request_handle id, const request& entry) const;
    /** Places requests again that wait for weights at a server that accepts no requests now. */
    void reassign_waiting_requests(const std::string& backend_id, time_point now);
    void end_without_placement(request_handle id, request& entry, const no_placement& no_target,
                               time_point now);
    void send(request_handle id, request& entry, const placement& target, time_point now);
    void wait(request_handle id, request& entry, const placement& target, time_point now);
    void end(request_handle id, request& entry, end_reason reason, duration retry_after = {});
    /** Whether the shutdown of this process, rather than the request itself, sets the deadline. */
    bool is_limited_by_shutdown(const request& entry) const;
    void end_for_shutdown(request_handle id, request& entry);
    void detach_from_backend(request& entry);
    /** Whether a part of the prompt is held and this isn't a trial of it. */
    bool is_held(request& entry, time_point now);
    /** The connection broke: records it for the request's parts unless its answer had begun. */
    void record_crash(const request& entry, time_point now);
    /** Ends requests with held parts that wait or whose answers haven't begun. */
    void end_held_requests(time_point now);
    /** Decides anew which parts are held and ends the requests with new ones. */
    void update_parts(time_point now);
    /** Counts a failure of the server if the first byte is overdue (`first_byte_timeout`). */
    void record_timeout(const request& entry, time_point now);
    /** The first byte of a response has arrived: learns the speed of its server. */
    void record_latency(const request& entry, backend_view& view, time_point now);
    /** Sets the latency ratio of a server from the measured speeds. */
    void update_latency_ratio(backend_view& view, speed_kind kind, time_point now);
    /** Prompt tokens of the request that the server has yet to process. */
    static std::uint64_t uncached_tokens(const request& entry, backend_view& view);
    /** Precondition: `uncached` is set for this server. */
    duration estimate_first_byte(const request& entry, const backend_view& view,
                                 time_point now) const;
    void retry_or_end(request_handle id, request& entry, attempt_outcome outcome, time_point now);
    /** Whether the request may be sent again; reserves the retry if it may. */
    retry_decision decide_retry(const request& entry, time_point now);
    void record_retry_decision(request_handle id, const request& entry, retry_decision decision,
                               time_point now);
    /** Whether the limit on retries lets the request be sent now; counts the retry if it is one. */
    bool may_send(request& entry, time_point now);
    /** The request won't be sent again, though a retry may be reserved for it. */
    void release_retry(request& entry);
    duration caller_timeout(const request& entry) const;
    duration with_jitter(duration delay);
    /** A random duration that is not shorter than `delay`; may exceed max_retry_after. */
    duration with_added_jitter(duration delay);
    duration retry_after_recovery(time_point now);

    dispatcher_settings settings_;
    random_source random_;
    std::shared_ptr<const catalogue_index> catalogue_;
    adapter_versions versions_;
    std::optional<evacuation_state> evacuations_;
    backend_registry backends_;
    account_limiter limiter_;
    retry_limiter retries_;
    crash_register crashes_;
    crashing_parts parts_;
    server_limits limits_;
    cold_servers cold_;
    effective_limits effective_limits_;
    permit_exchange permits_;
    store_recovery_estimator store_recovery_;
    stream_origins origins_;
    server_speeds speeds_;
    software_versions software_;
    software_exchange software_exchange_;
    time_point versions_observed_at_;
    time_point ended_servers_forgotten_at_;
    std::optional<registration_period> registrations_known_; /**< Empty if none are known. */
    route_history routes_;
    bool is_history_final_ = false;
    placement_chooser placement_chooser_;
    std::optional<time_point> answer_by_; /**< Latest deadline of every request. */
    std::map<request_handle, request> requests_;
    std::vector<dispatch_effect> effects_;
    std::vector<retry_decided> retry_decisions_;
    request_handle next_handle_ = 1;
};

} // namespace camphorgrade::serving
