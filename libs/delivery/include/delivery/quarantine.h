#pragma once

#include <delivery/fingerprint.h>
#include <delivery/group_commit.h>
#include <kernel/ids.h>
#include <kernel/service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorgrade::wire {
class death_record;
class quarantine_message;
class suspect_cleared;
} // namespace camphorgrade::wire

namespace camphorgrade::delivery {

/** A request that was running when its backend server died. A value type. */
struct death_suspect {
    fingerprint content; /**< From quarantine_fingerprint(). */
    std::string client_account;
    std::string service;

    friend bool operator==(const death_suspect&, const death_suspect&) = default;
};

/** Names one death of a backend server; unique for ever. A value type. */
struct death_id {
    node_id node; /**< The agent that saw it. */
    incarnation life;
    std::uint64_t sequence = 0;

    friend bool operator==(const death_id&, const death_id&) = default;
    friend auto operator<=>(const death_id&, const death_id&) = default;
};

/** Fingerprint of a request of one client account; other accounts cannot produce it. */
fingerprint quarantine_fingerprint(std::string_view client_account, std::string_view service,
                                   std::string_view adapter, std::string_view body);

/** How a request may run. */
enum class quarantine_verdict : std::uint8_t {
    run,
    run_alone, /**< With nothing beside it on the backend server. */
    refuse
};

/** Verdict and how long it lasts. A value type. */
struct quarantine_standing {
    quarantine_verdict verdict = quarantine_verdict::run;
    duration ends_in{}; /**< 0 for run. */

    friend bool operator==(const quarantine_standing&, const quarantine_standing&) = default;
};

/** What operators see of a suspect. A value type. */
struct quarantine_view {
    death_suspect suspect;
    std::uint64_t deaths = 0;
    quarantine_standing standing;

    friend bool operator==(const quarantine_view&, const quarantine_view&) = default;
};

/** Tells which processes must know of a death. Must outlive the quarantine service. */
class peer_directory {
public:
    peer_directory() = default;
    peer_directory(const peer_directory&) = delete;
    peer_directory& operator=(const peer_directory&) = delete;
    peer_directory(peer_directory&&) = delete;
    peer_directory& operator=(peer_directory&&) = delete;
    virtual ~peer_directory() = default;

    /** All live gateways and agents; may contain the own node. */
    virtual std::vector<node_id> peers() const = 0;
};

/** Hears that a reported death is known. Must outlive the quarantine service. */
class death_listener {
public:
    death_listener() = default;
    death_listener(const death_listener&) = delete;
    death_listener& operator=(const death_listener&) = delete;
    death_listener(death_listener&&) = delete;
    death_listener& operator=(death_listener&&) = delete;
    virtual ~death_listener() = default;

    /**
     * Called once for each report, never from within it: every peer knows (`everywhere`), or the
     * bounded wait for them is over. Only then may the callers hear that their requests broke.
     */
    virtual void on_death_shared(const death_id& death, bool everywhere, step& now) = 0;
};

/** Bounds and times of quarantine. A value type. */
struct quarantine_settings {
    std::string key_prefix = "/camphor/quarantine/";
    duration keep{1'800'000};      /**< A death counts so long. */
    duration share_timeout{1'000}; /**< Longest wait for peers before the listener hears. */
    duration resend_after{100};    /**< First wait for an acknowledgement; doubles. */
    duration most_resend_after{5'000};
    duration sync_interval{60'000};  /**< Between two readings of all records. */
    std::size_t most_deaths = 1'024; /**< Older ones are forgotten first. */
    std::size_t most_suspects = 256; /**< Of one death. */
    std::uint64_t deaths_to_refuse = 2;

    friend bool operator==(const quarantine_settings&, const quarantine_settings&) = default;
};

/**
 * Keeps requests that kill backend servers from running a third time anywhere: service "quarantine"
 * of gateways and agents.
 *
 * A death makes every request that was running there a suspect. A suspect runs again only alone, so
 * a second death under its fingerprint has no other explanation, and a request that was merely
 * beside a killer is cleared by finishing. What is shared is a set of deaths and of clearances that
 * only grows and is merged in any order, by acknowledged messages and through the key-value
 * service; nothing is ever overwritten, and all of it ends after `keep`. Not thread safe.
 *
 * @code
 * auto& quarantine = kernel.find<camphorgrade::delivery::quarantine>("quarantine");
 * if (quarantine.standing(content, now.time()).verdict == quarantine_verdict::refuse) { ... }
 * quarantine.report_death(running_suspects, listener, now); // agent: the backend server died
 * quarantine.on_finished(content, now);                     // agent: it ended well
 * @endcode
 */
class quarantine final : public service {
public:
    /** Preconditions: times positive; deaths_to_refuse at least 2. */
    quarantine(quarantine_settings settings, const peer_directory& peers);

    std::string_view name() const noexcept override { return "quarantine"; }
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;

    /** How a request with this fingerprint may run now. */
    quarantine_standing standing(const fingerprint& content, time_point at) const;

    /** The backend server died while these ran. The listener outlives this service. */
    death_id report_death(const std::vector<death_suspect>& running, death_listener& listener,
                          step& now);

    /** A request ended well; clears it if it was a suspect that is not refused. */
    void on_finished(const fingerprint& content, step& now);

    /** An operator lets a suspect run freely again. Returns whether there was one. */
    bool lift(const fingerprint& content, step& now);

    /** All suspects, by fingerprint. */
    std::vector<quarantine_view> list(time_point at) const;

private:
    using clearance = std::pair<death_id, fingerprint>;

    struct known_death {
        std::vector<death_suspect> suspects;
        time_point ends;
    };
    struct outgoing {
        std::string payload;
        std::set<node_id> unacknowledged;
        time_point next_send;
        duration wait{};
        time_point ends;
        death_listener* listener = nullptr;
        death_id death;
        time_point share_by;
    };

    std::vector<death_id> counted(const fingerprint& content, time_point at) const;
    bool add_death(const death_id& id, known_death added);
    void clear(const fingerprint& content, const std::vector<death_id>& deaths, step& now);
    void add_clearance(const fingerprint& content, const death_id& death, time_point ends);
    void learn(const wire::death_record& record, step& now);
    void learn(const wire::suspect_cleared& record, step& now);
    void learn_all(const kv_range_result& found, step& now);
    void broadcast(wire::quarantine_message content, outgoing out, step& now);
    void acknowledged(std::uint64_t sequence, const node_id& by);
    void forget(time_point at);
    void forget_death(std::map<death_id, known_death>::iterator at);
    void tell_listeners(step& now);
    void resend(step& now);
    void sync(step& now);
    void arm(step& now);

    quarantine_settings settings_;
    const peer_directory& peers_;
    group_commit commit_;
    std::map<death_id, known_death> deaths_;
    std::map<fingerprint, std::set<death_id>> by_content_;
    std::map<clearance, time_point> cleared_;
    std::map<death_id, time_point> forgotten_; /**< Not to be learned again until then. */
    std::map<std::uint64_t, outgoing> outgoing_;
    std::uint64_t last_death_ = 0;
    std::uint64_t last_sequence_ = 0;
    time_point next_sync_;
    bool syncing_ = false;
    std::optional<time_point> armed_;
};

} // namespace camphorgrade::delivery
