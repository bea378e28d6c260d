#pragma once

#include <serving/backend_server.h>
#include <serving/part_start_counts.h>
#include <serving/request_metadata.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::serving {

/** Records that a backend server process broke the connections of requests that it had not begun
    to answer. A value type. */
struct part_crash {
    server_process server;
    std::vector<std::uint64_t> parts; /**< Parts of these requests' prompts. */

    friend bool operator==(const part_crash&, const part_crash&) = default;
};

/** How many requests with a part backend servers began to answer for one gateway. A value type. */
struct part_starts {
    std::uint64_t part = 0;
    std::uint32_t before = 0; /**< Within part_start_counts_settings::window before the gateway
                                   knew of a crash with it. */
    std::uint32_t since = 0;  /**< From then on. */

    friend bool operator==(const part_starts&, const part_starts&) = default;
};

/** What a gateway shares with its peers about parts that may crash servers. A value type. */
struct crashing_parts_report {
    std::vector<part_crash> crashes;
    std::vector<part_starts> starts;
    std::vector<server_process> alive; /**< Processes that answered after they had been reported as
                                            crashed. */

    bool is_empty() const noexcept { return crashes.empty() && starts.empty() && alive.empty(); }

    friend bool operator==(const crashing_parts_report&, const crashing_parts_report&) = default;
};

/** What is believed of a part. */
enum class part_state : std::uint8_t {
    suspect,  /**< Several processes crashed on requests with it. */
    held,     /**< Requests with it are refused. */
    on_trial, /**< The hold is over: one request at a time is sent. */
    cleared   /**< Requests with it are sent again. */
};

/** Returns the name of a state as written to logs and metrics. */
std::string_view to_string(part_state state) noexcept;

/** A part's state has changed. A value type. */
struct part_state_change {
    std::uint64_t part = 0;
    part_state state = part_state::suspect;
    std::vector<server_process> crashed; /**< Processes that crashed on requests with it. */
    std::uint64_t starts = 0; /**< Requests with it that servers began to answer, for all gateways
                                   that reported. */
    duration hold{};          /**< Time for which the part is held after its last crash. */

    friend bool operator==(const part_state_change&, const part_state_change&) = default;
};

/** Limits of crashing_parts. Durations are in milliseconds. */
struct crashing_parts_settings {
    /** Processes that must have crashed on requests with a part before it is held. */
    std::size_t min_crashes = 3;
    /** A part is held while it has more crashes than this many times its starts. */
    std::uint64_t crashes_per_start = 4;
    /** Crashes after which a part is suspect: starts with it are reported to the peers. One crash
        says little, since many sound parts are in it. */
    std::size_t min_suspect_crashes = 2;
    /** Time to wait for the peers' counts of starts from when a part is suspect. */
    duration min_suspicion{500};
    /** A part that had starts before its first crash is held after this many crashes, by its starts
        since then alone. */
    std::size_t min_crashes_despite_starts = 5;
    /** Time from when such a part is suspect until it may be held. */
    duration min_suspicion_despite_starts{1'000};
    /** Starts with another suspect beyond those with a part, both since the crashes, without which
        the part is held only if it never had a start, after min_crashes_despite_starts: where
        nothing begins, the cause isn't a part. */
    std::uint64_t min_other_starts = 3;
    duration retention{300'000};   /**< Time after its last crash until a suspect is forgotten. */
    duration hold{300'000};        /**< Time after its last crash for which a part is held first. */
    std::int64_t hold_growth = 12; /**< Factor by which a crash in a trial prolongs the hold. */
    duration max_hold{86'400'000};
    duration min_retry_after{5'000}; /**< For refused requests; grows with the time of the hold. */
    duration max_retry_after{60'000};
    /** Time after the last broken connection in which an answer of its process disproves the crash.
       A process that is restarted later may be taken for the one that crashed. */
    duration disproof_window{3'000};
    /** Time for which further reports of a disproved crash are ignored. */
    duration disproof_retention{5'000};
    /** Time from a crash until an answer disproves it; earlier ones may have been under way. */
    duration min_disproof_age{50};
    /** Time between two decisions if there is no new evidence. */
    duration update_interval{100};
    /** Time for which one gateway may try parts whose hold is over, before it is another's turn. */
    duration trial_turn{10'000};
    std::size_t max_suspects = 1'024; /**< Parts of which a crash is remembered. */
    std::size_t max_crashes = 512;    /**< Crashed processes that are remembered. */
    /** Time for which reports repeat a crash that this gateway observed. */
    duration repeat_duration{1'000};
    std::size_t max_reported_crashes = 16;
    std::size_t max_reported_parts = 12;  /**< Parts reported of one crash. */
    std::size_t max_reported_starts = 32; /**< Parts of which one report counts the starts. */
    std::uint32_t max_starts = 128;       /**< Starts with a part that a gateway counts at most. */
    std::size_t max_prompt_parts = 32;    /**< Parts of one prompt that are looked at. */
    part_start_counts_settings starts;

    friend bool operator==(const crashing_parts_settings&,
                           const crashing_parts_settings&) = default;
};

/**
 * Finds parts of prompts that crash each backend server that begins to answer a request with them.
 *
 * All parts but the last of a request's prompt are suspected when its connection breaks before the
 * answer has begun. A part is held once enough processes have crashed on it, and more often than
 * servers began to answer requests with it. A crash that a held part with more evidence explains
 * doesn't count against other parts. Crashes and starts are shared among gateways; adding one again
 * has no effect. Bounded in memory. Deterministic. Not thread safe.
 */
class crashing_parts {
public:
    explicit crashing_parts(crashing_parts_settings settings);

    /** A server began to answer a request with this prompt. */
    void on_start(const std::vector<prompt_part>& prompt, const server_process& server,
                  time_point now);

    /** The connection of a request with this prompt broke before its answer began. */
    void on_crash(const std::vector<prompt_part>& prompt, const server_process& server,
                  time_point now);

    /** Applies a peer's report. The counts of starts replace those of its earlier reports. */
    void on_report(const std::string& peer, const crashing_parts_report& report, time_point now);

    /** Sets this gateway's position among `gateways` live ones, which decides whose turn a trial
        is. Precondition: `rank` < `gateways`. */
    void set_rank(std::size_t rank, std::size_t gateways);

    /** Decides anew which parts are held; returns whether some are held that weren't before. Must
        be called after evidence was added and from time to time. */
    bool update(time_point now);

    /** Time after which a caller may send the prompt again; empty if none of its parts is held. */
    std::optional<duration> retry_after(const std::vector<prompt_part>& prompt,
                                        time_point now) const;

    /** The first held part of the prompt; empty if none is held. */
    std::optional<std::uint64_t> held_part(const std::vector<prompt_part>& prompt) const;

    /** Whether a request with this prompt, whose parts are held, may be sent as a trial; counts it
        as one if so. */
    bool try_trial(const std::vector<prompt_part>& prompt, time_point now);

    /** Whether this gateway observed a crash that no report has told yet. */
    bool has_news() const noexcept { return has_news_; }

    /** Whether a report must be sent although nothing else changed: this gateway observed a crash
        within `repeat_duration`, or parts are suspect. */
    bool has_changes(time_point now) const;

    /** Evidence for the next report to the peers; `is_complete`: for peers that know nothing. */
    crashing_parts_report next_report(bool is_complete, time_point now);

    /** Returns the changes of states in order and clears them. */
    std::vector<part_state_change> take_changes();

    /** Number of parts that are suspect and not held. */
    std::size_t suspects() const;
    std::size_t held() const noexcept { return held_.size(); }

private:
    struct crash {
        time_point known_since;
        time_point last_break; /**< When a connection of the process last broke here. */
        bool is_own = false;
        std::set<std::uint64_t> parts;
    };
    struct disproof {
        time_point since;
        bool is_own = false;
    };
    struct suspect {
        std::set<server_process> crashed;
        time_point last_crash;
        std::optional<time_point> suspect_since;
        part_starts own;
        part_starts reported; /**< What a report last said of `own`. */
        std::map<std::string, part_starts> peers;
        std::uint64_t peer_starts = 0;       /**< Sum over `peers`. */
        std::uint64_t peer_starts_since = 0; /**< Sum over `peers`. */
        bool is_held = false;
        bool is_on_trial = false;
        duration hold{};
        time_point held_since;
        time_point held_until;
        std::optional<time_point> trial_began;

        std::uint64_t starts_since() const { return own.since + peer_starts_since; }
        std::uint64_t starts() const { return own.before + own.since + peer_starts; }
    };
    using candidate = std::pair<const std::uint64_t, suspect>;

    std::vector<std::uint64_t> parts_of(const std::vector<prompt_part>& prompt) const;
    bool add(std::uint64_t part, const server_process& server, bool is_own, time_point now);
    suspect* find_or_add(std::uint64_t part);
    void make_room_for_crash();
    void forget_crash(const server_process& server);
    /** The process answered, so that it didn't crash. */
    void disprove(const server_process& server, bool is_own, time_point now);
    bool is_disproved(const server_process& server, time_point now) const;
    void forget(std::uint64_t part);
    void expire(time_point now);
    /** Suspects with enough crashes to be held, the one with most evidence first. */
    std::vector<candidate*> candidates();
    /** Most starts since the crashes with any one suspect. */
    std::uint64_t most_starts_since() const;
    bool is_crashing(const suspect& each, const std::set<server_process>& explained,
                     std::uint64_t most_starts, time_point now) const;
    /** Applies the decision on one part; returns whether it is newly held. */
    bool set_crashing(candidate& each, bool is_crashing, time_point now);
    void record_change(const candidate& each, part_state state);
    bool has_turn(const candidate& each, time_point now) const;
    void report_crash(const server_process& server, crashing_parts_report& out) const;
    void report_starts(bool is_complete, crashing_parts_report& out);

    crashing_parts_settings settings_;
    part_start_counts start_counts_;
    std::map<server_process, crash> crashes_;
    std::map<std::uint64_t, suspect> suspects_;
    std::map<server_process, disproof> disproofs_;
    std::set<std::uint64_t> held_;
    std::vector<part_state_change> changes_;
    std::size_t rank_ = 0;
    std::size_t gateways_ = 1;
    bool has_news_ = false;
    bool has_new_evidence_ = false;
    time_point updated_at_;
};

} // namespace camphorgrade::serving
