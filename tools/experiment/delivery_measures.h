#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <vector>

namespace camphorgrade::experiment {

/** Load and store of one measurement of the at-most-once records. */
struct record_case {
    unsigned agents = 4;
    unsigned bookings_per_s = 500;
    duration store_delay{2};
    duration length{20'000};
    std::uint64_t seed = 5;
};

/** Cost of the at-most-once records. */
struct record_cost {
    std::int64_t p50_ms = 0; /**< From the request to the call of the backend server. */
    std::int64_t p99_ms = 0;
    double writes_per_booking = 0;
    double calls_per_booking = 0; /**< All store calls. */
    std::uint64_t bookings = 0;
    std::uint64_t not_run = 0; /**< Bookings that never got to run. */
};

/** Runs bookings with keys of their own through the agents' records. */
record_cost measure_records(const record_case& measured);

/** What retries add in an outage of backend servers. */
struct outage_cost {
    std::uint64_t requests = 0; /**< That arrived during the outage. */
    std::uint64_t retries = 0;
    std::uint64_t answered = 0;
    std::int64_t slowest_answer_ms = 0; /**< Of any kind of answer. */
};

/** `down` of four backend servers are out for 20 s, and gateways do not learn of it. */
outage_cost measure_outage(unsigned down, unsigned requests_per_s, std::uint64_t seed);

/** How an agent's leaving shows. */
struct leaving_cost {
    std::int64_t last_start_ms = 0; /**< From leaving to the last request started there. */
    std::int64_t last_offer_ms = 0; /**< From leaving to the last request sent there. */
    std::uint64_t requests = 0;
    std::uint64_t not_whole = 0;
};

/** One of three agents leaves under load; gateways learn of it after `lag`. */
leaving_cost measure_leaving(duration lag, unsigned requests_per_s, std::uint64_t seed);

} // namespace camphorgrade::experiment
