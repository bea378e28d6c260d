#pragma once

#include <kernel/clock.h>
#include <serving/software_versions.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** What a process tells another of the software versions that have served lately. A value type. */
struct software_message {
    bool is_query = false; /**< The sender wants to know what the receiver knows. */
    software_history history;

    friend bool operator==(const software_message&, const software_message&) = default;
};

/** A message with its receiver, "ip:port". A value type. */
struct addressed_software_message {
    std::string to;
    software_message body;

    friend bool operator==(const addressed_software_message&,
                           const addressed_software_message&) = default;
};

/** Times and limits of a software_exchange. */
struct software_exchange_settings {
    std::size_t asked_gateways = 4; /**< Other gateways that get each query. */
    std::size_t told_gateways = 4;  /**< Other gateways that are told of a new version. */
    std::size_t agents = 4;         /**< Agents that keep the history for the gateways. */
    /** Gateways that tell the agents regularly. */
    std::size_t telling_gateways = 3;
    duration tell_interval{1'000};      /**< Time between two regular messages to agents. */
    duration min_query_interval{100};   /**< Time between the first two queries. */
    duration max_query_interval{1'000}; /**< The time doubles with each query up to this one. */
    duration first_answer_time{500};    /**< Time after the start in which answers arrive. */
    /** What others know is confirmed for this long after they have told it. */
    duration confirmation_time{500};
    /** A gateway whose queries nobody has answered for this long has no others to ask. */
    duration solitude_time{60'000};
    /** For this long after its start, a gateway asks until it has an answer, even if it assumes
       that there is nothing to know. */
    duration start_query_time{5'000};

    friend bool operator==(const software_exchange_settings&,
                           const software_exchange_settings&) = default;
};

/**
 * Exchanges the history of software versions between the gateways, and with the agents of some
 * engines, which keep it while all gateways restart. A gateway that doesn't know the whole history
 * asks for it, and one that learns of a new version tells others at once. Deterministic; performs
 * no I/O. Not thread safe. `versions` must outlive the exchange.
 */
class software_exchange {
public:
    software_exchange(software_versions& versions, software_exchange_settings settings);

    /** Sets this gateway's address and the live gateways, itself included. */
    void set_gateways(const std::string& own, const std::vector<std::string>& live);

    /** Sets the addresses of all agents. */
    void set_agents(const std::vector<std::string>& agents);

    /** Another gateway or an agent told or asks something. */
    void on_message(const std::string& from, const software_message& message, time_point now);

    /** Asks at once what others know; false if there is nobody to ask. */
    bool ask(time_point now);

    /** How many of the processes that were last asked have just told what they know. */
    enum class confirmation : std::uint8_t {
        none,      /**< Less than half: this gateway may be cut off from those that know more. */
        half,      /**< Half at least, or there is no other process. */
        nearly_all /**< Three quarters at least. */
    };
    confirmation confirmed(time_point now) const;
    bool is_confirmed(time_point now) const { return confirmed(now) != confirmation::none; }

    /** Whether this gateway has just started and no other process has told it more than it knew. */
    bool expects_answer(time_point now) const;

    /** Messages to send now. */
    std::vector<addressed_software_message> take_messages(time_point now);

private:
    /** The next `count` of the other gateways, in turn. */
    std::vector<std::string> next_peers(std::size_t count);
    void send(const std::vector<std::string>& to, bool is_query, time_point now);
    void ask_when_due(time_point now);
    void tell_when_due(time_point now);

    software_versions& versions_;
    software_exchange_settings settings_;
    std::vector<std::string> peers_;  /**< The other live gateways, sorted. */
    std::vector<std::string> agents_; /**< Those that keep the history. */
    bool tells_regularly_ = false;
    bool has_answer_ = false;
    std::map<std::string, time_point> last_heard_; /**< When other processes last told something. */
    std::set<std::string> asked_;                  /**< By the last query. */
    /** When the first query since the last message of another process was sent. */
    std::optional<time_point> unanswered_since_;
    /** Begins behind this gateway's own place, so that each gateway turns to others first. */
    std::size_t next_peer_ = 0;
    bool has_first_peer_ = false;
    std::uint64_t told_changes_ = 0;
    time_point last_told_;
    time_point last_asked_;
    duration query_interval_;
    std::optional<time_point> started_; /**< First call of take_messages(). */
    std::vector<addressed_software_message> messages_;
};

} // namespace camphorgrade::serving
