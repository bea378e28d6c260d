#pragma once

#include <kernel/clock.h>
#include <serving/record_store.h>
#include <serving/stream_origins.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * @file
 * Origins of streams in the store, where they outlive all processes of the system.
 */
namespace camphorgrade::serving {

/** Streams by the software that began them, as one record of the store holds them. */
using origin_chunk = std::map<stream_origin, std::vector<stream_key>>;

/** Times and limits of an origin_journal. */
struct origin_journal_settings {
    /** Time between two writes. What began since the last one is lost with all processes. */
    duration write_interval{500};
    /** Longest time for which one record grows; then the next one begins. */
    duration chunk_time{5'000};
    std::size_t max_streams_per_chunk = 2'000;
    /** Streams that wait for the store; the oldest are left out beyond this. */
    std::size_t max_pending = 16'384;
    /** New leases are opened after this time. A record lasts for it at least, and for twice it at
        most: longer than a stream and its caller's retries. */
    duration lease_interval{60'000};
    /** Time after a call that failed; doubles with each further one, up to the maximum. */
    duration min_retry_delay{200};
    duration max_retry_delay{500};

    friend bool operator==(const origin_journal_settings&,
                           const origin_journal_settings&) = default;
};

/** The next call of a journal. A value type. */
struct journal_call {
    enum class kind : std::uint8_t { open_lease, write };
    kind what = kind::open_lease;
    std::uint64_t chunk = 0;             /**< Number of the record; of a write. */
    std::uint64_t expected_revision = 0; /**< Of the record; 0: it is new. */
    std::uint64_t lease = 0;
    origin_chunk streams;

    friend bool operator==(const journal_call&, const journal_call&) = default;
};

/**
 * Decides which origins of this gateway's streams are written to the store, and when. A record is
 * written again as it grows, on the condition that it is as this gateway left it, so that a write
 * that takes effect late can't undo a later one. One call at a time. Deterministic; performs no
 * I/O. Not thread safe.
 */
class origin_journal {
public:
    explicit origin_journal(origin_journal_settings settings);

    /** Sets the time between two writes, which grows with the number of gateways. */
    void set_write_interval(duration interval) { settings_.write_interval = interval; }

    /** These streams began here, or went on. */
    void add(const std::vector<origin_record>& begun);

    /** The call to make now; empty if none is due. Its result must be reported. */
    std::optional<journal_call> next_call(time_point now);

    /** A lease was opened; empty: it wasn't. */
    void on_lease(std::optional<std::uint64_t> lease, time_point now);

    /** A record was written, or not. */
    void on_written(const write_result& result, time_point now);

    /** Time to live of the leases to open. */
    duration lease_time() const noexcept { return settings_.lease_interval * 2; }

private:
    void begin_chunk(time_point now);
    void on_failure(time_point now);

    origin_journal_settings settings_;
    std::vector<origin_record> pending_; /**< In no record yet. */
    origin_chunk chunk_;                 /**< What the present record holds, or is to hold. */
    std::size_t chunk_size_ = 0;
    std::uint64_t chunk_number_ = 0;
    std::uint64_t chunk_revision_ = 0;
    std::optional<time_point> chunk_began_;
    bool is_chunk_unwritten_ = false;
    std::optional<std::uint64_t> lease_;
    time_point lease_opened_;
    time_point next_call_at_;
    duration retry_delay_;
    bool is_calling_ = false;
};

} // namespace camphorgrade::serving
