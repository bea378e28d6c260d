#pragma once

#include <kernel/service.h>
#include <membership/epoch_planner.h>
#include <membership/freshness.h>
#include <membership/membership_service.h>
#include <membership/withdrawal_log.h>
#include <membership/witness_state.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::wire {
class probe;
class probe_answer;
} // namespace camphorgrade::wire

namespace camphorgrade::membership {

/** Key of the epoch record in the key-value service. */
inline constexpr const char* epoch_key = "/camphorgrade/epoch";

/** Times of the freshness rule. All nodes of a fleet must use the same `validity`. */
struct standing_options {
    duration validity{5'000}; /**< How long a granted probe counts. */
    duration probe_period{1'000};
    duration agent_period{4'000};  /**< How often an agent asks a witness. */
    duration margin{250};          /**< Added to `validity` where another node's clock ran it. */
    duration silent_after{4'000};  /**< A gateway not heard of for this long may be sealed. */
    duration lost_after{20'000};   /**< A witness not heard of for this long is replaced. */
    duration record_period{5'000}; /**< How often the store is read while no witness answers. */
    duration fed_for{10'000};      /**< After a witness's answer the list is not polled. */
    std::size_t most_witnesses = 7;
};

/** Told of what standing learns. All are called from the kernel's thread. */
class standing_listener {
public:
    virtual ~standing_listener() = default;

    /** A newer epoch is known, or this gateway's generation has changed. */
    virtual void on_epoch_changed(step& now) = 0;

    /** Another node knows of a configuration revision newer than any heard of. */
    virtual void on_configuration_heard(std::uint64_t /*revision*/, const node_id& /*from*/,
                                        step& /*now*/) {}

    /** A witness has acknowledged more withdrawals; see standing_service::holders(). */
    virtual void on_withdrawals_held(step& /*now*/) {}
};

/**
 * Says whether this gateway may admit, and under which epoch.
 *
 * A gateway has standing while a majority of its epoch's witnesses granted probes that it sent less
 * than `validity` ago. A grant carries all withdrawals that the witness holds, so a withdrawal held
 * by a majority is known to every gateway with standing within `validity`. A gateway that a
 * majority has sealed for longer than `validity` never admits again in that generation. The rule
 * is argued in docs/design/standing.md. On agents the service answers probes and knows which
 * gateways are sealed. Called from the kernel's thread only.
 *
 * @code
 * kernel.add(std::make_unique<standing_service>(self_info));
 * const auto& standing = kernel.find<standing_service>("standing");
 * if (!standing.has_standing(now.time())) { refuse(); }
 * @endcode
 */
class standing_service final : public service {
public:
    explicit standing_service(const node_info& self, standing_options options = {});
    ~standing_service() override;

    std::string_view name() const noexcept override { return "standing"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;

    /** The log whose withdrawals travel with probes. Precondition: outlives the kernel. */
    void set_withdrawal_log(withdrawal_log& log) { log_ = &log; }

    /** Adds a listener. Precondition: it outlives the kernel. */
    void add_listener(standing_listener& listener) { listeners_.push_back(&listener); }

    /** Whether this gateway may admit at `now`; ask in the same step that admits. */
    bool has_standing(time_point now) const;

    /** Number of the newest epoch known, 0 for none. */
    std::uint64_t epoch() const { return record().number; }

    /** The newest epoch known. */
    const epoch_record& record() const { return witness_.record(); }

    /** This gateway's membership: the epoch in which it joined, 0 while it is not a member. */
    std::uint64_t generation() const noexcept { return generation_; }

    /** Whether a request that `gateway` admitted under `epoch` may still be started here. */
    bool accepts(std::uint64_t epoch, const node_id& gateway, incarnation life) const;

    /** Generations proven never to admit again, of the epoch's members. */
    const std::set<std::uint64_t>& dead() const noexcept { return dead_; }

    /**
     * Whether this gateway is the one that audits shares: the first member that is not dead, once
     * all standing given before a fresh start has run out.
     */
    bool audits(time_point now) const;

    /** Witnesses known to hold this node's first `position` withdrawals. */
    std::vector<node_id> holders(std::uint64_t position) const;

    /** Whether a majority of the witnesses does: they are in force everywhere within `validity`. */
    bool held_by_majority(std::uint64_t position) const;

    /** Probes at once, to spread a new withdrawal or revision without waiting for the period. */
    void probe_now(step& now);

    /** The configuration revision in force here, told to others. */
    void set_configuration_revision(std::uint64_t revision) { configuration_revision_ = revision; }

    /** Gives up standing and leaves the epoch; the last act but one of a graceful shutdown. */
    void leave(step& now);

    /** Whether the epoch no longer names this node. */
    bool left() const noexcept { return leaving_ && left_; }

    /** Calls made to the key-value service so far. */
    std::uint64_t store_calls() const noexcept { return store_calls_; }

private:
    /** What this node knows of another through its answers. */
    struct peer {
        incarnation life;
        std::optional<time_point> answered_at;
        std::uint64_t witness_version = 0;
        std::uint64_t ready_version = 0;
        std::uint64_t epoch = 0;
        std::set<std::uint64_t> sealed;
        std::set<std::uint64_t> silent;
        std::uint64_t cursor = 0; /**< What this node has of the peer's log. */
        std::uint64_t merged = 0; /**< What the peer has of this node's log. */
        std::uint64_t pushed = 0; /**< What this node took of the peer's log from its probes. */
    };

    struct sent_probe {
        node_id to;
        time_point at;
        std::uint64_t generation = 0;
    };

    void on_probe(const wire::probe& asked, const message& received, step& now);
    void on_answer(const wire::probe_answer& answer, const message& received, step& now);
    void probe_witnesses(step& now);
    void probe(const node_id& to, step& now);
    void fill_answer(const wire::probe& asked, const node_id& asker, wire::probe_answer& answer,
                     step& now);
    bool fill_withdrawals(const wire::probe& asked, wire::probe_answer& answer) const;
    void learn(peer& from, const wire::probe_answer& answer, step& now);
    void count_grant(const sent_probe& sent, const node_life& witness);
    void count_pull(const node_life& previous_witness);
    void adopt(const epoch_record& record, step& now);
    void take_generation(step& now);
    void hear_configuration(std::uint64_t revision, const node_id& from, step& now);
    void transmit(const node_id& to, std::string payload, step& now);
    peer& peer_of(const message& received);

    bool witnesses_settled() const;
    std::size_t count_witnesses_that_seal(std::uint64_t generation) const;
    bool majority_finds_silent(std::uint64_t generation) const;
    void update_dead(time_point now);
    std::vector<std::uint64_t> to_seal() const;
    bool leads() const;
    std::set<node_id> lost_witnesses(time_point now) const;
    bool hears_witness(time_point now) const;
    bool majority_ready() const;

    epoch_intent intent(time_point now) const;
    epoch_view view(time_point now) const;
    void consider_epoch(step& now);
    void read_epoch(step& now);
    void on_epoch_read(const kv_range_result& result, step& now);
    void write_epoch(epoch_record next, std::int64_t stored_at, step& now);

    node_info self_;
    standing_options options_;
    membership_service* membership_ = nullptr;
    withdrawal_log* log_ = nullptr;
    std::vector<standing_listener*> listeners_;
    witness_state witness_;
    freshness fresh_;
    std::uint64_t generation_ = 0;
    std::set<std::uint64_t> abandoned_; /**< Own generations given up before the store knows. */
    std::map<node_id, peer> peers_;
    std::map<std::uint64_t, sent_probe> sent_;
    std::uint64_t next_probe_ = 1;
    std::map<std::uint64_t, time_point> sealed_since_;
    std::optional<time_point> settled_since_;
    time_point witnesses_since_{};
    std::set<std::uint64_t> dead_;
    std::uint64_t configuration_revision_ = 0;
    std::uint64_t configuration_heard_ = 0;
    bool leaving_ = false;
    bool left_ = false;
    bool store_busy_ = false;
    std::uint64_t writes_ = 0;
    bool record_removed_ = false;         /**< From the store, while this node has no standing. */
    std::optional<epoch_record> pending_; /**< Being written. */
    std::optional<time_point> read_at_;
    std::uint64_t store_calls_ = 0;
};

} // namespace camphorgrade::membership
