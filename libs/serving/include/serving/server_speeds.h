#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** What the time of a response mostly depends on. */
enum class speed_kind : std::uint8_t {
    prompt, /**< Prefill of a prompt by an engine. */
    plain   /**< A request to a plain service. */
};

inline constexpr std::size_t speed_kind_count = 2;

/** Responses of one server process, as one gateway measured them. A value type. */
struct speed_sample {
    server_process server;
    speed_kind kind = speed_kind::prompt;
    std::uint32_t count = 0;
    double log2_ratio_sum = 0; /**< Sum of log2(measured / expected time). */

    friend bool operator==(const speed_sample&, const speed_sample&) = default;
};

/** Times and bounds of a server_speeds. */
struct server_speeds_settings {
    /** Whether speeds are shared and used; otherwise each gateway goes by its own responses. */
    bool is_enabled = false;
    /** After this time a sample counts for half. It exceeds by far the time for which a sound
       server is slow now and then. */
    duration half_life{5'000};
    /** Bound of each ratio, as a power of two: one slow response isn't a slow server. */
    double max_log2_ratio = 2;
    /** Weight of the expected speed, in samples. */
    double prior_weight = 3;
    /** Shorter expected times consist mostly of network delay. */
    duration min_expected_time{15};
    std::size_t max_servers = 4'096; /**< Processes that are remembered. */

    friend bool operator==(const server_speeds_settings&, const server_speeds_settings&) = default;
};

/**
 * How fast each server process is, relative to what is expected, from the responses of all
 * gateways.
 *
 * Answers load on servers of uneven speed: a gateway of a large fleet gets a response of each
 * server only every few seconds, too few to tell a slow server from noise. Each sample is told to
 * the peers once. Deterministic. Not thread safe.
 */
class server_speeds {
public:
    explicit server_speeds(server_speeds_settings settings) : settings_(settings) {}

    /** A response to this gateway took `measured` where `expected` was the estimate. */
    void on_response(const server_process& server, speed_kind kind, duration measured,
                     duration expected, time_point now);

    /** Adds what a peer measured. Samples without a count or with a sum that no responses can have
       are ignored; returns whether the sample was used. */
    bool on_peer_sample(const speed_sample& sample, time_point now);

    /** What this gateway measured since the last call. */
    std::vector<speed_sample> take_samples();

    /** Measured time as a multiple of the expected one; 1 for a process of which nothing is known.
     */
    double time_ratio(const server_process& server, speed_kind kind, time_point now) const;

    /** Forgets the processes that `is_current` doesn't know. */
    void erase_ended(const std::function<bool(const server_process&)>& is_current);

    std::size_t size() const noexcept { return speeds_.size(); }

private:
    struct speed {
        double log2_ratio_sum = 0;
        double weight = 0;
        time_point updated_at;
    };
    using server_kind = std::pair<server_process, speed_kind>;

    void add(const server_kind& key, double log2_ratio_sum, double count, time_point now);
    double remaining_share(const speed& of, time_point now) const;

    server_speeds_settings settings_;
    std::map<server_kind, speed> speeds_;
    std::map<server_kind, speed_sample> unreported_;
};

} // namespace camphorgrade::serving
