#pragma once

#include <placement/load_ledger.h>
#include <placement/load_want.h>

#include <kernel/service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace camphorgrade::placement {

/** Is told of permits to load; implemented by what owns the agent's scheduler. */
class load_permit_sink {
public:
    load_permit_sink() = default;
    load_permit_sink(const load_permit_sink&) = delete;
    load_permit_sink& operator=(const load_permit_sink&) = delete;
    load_permit_sink(load_permit_sink&&) = delete;
    load_permit_sink& operator=(load_permit_sink&&) = delete;
    virtual ~load_permit_sink() = default;

    /** One load may start until `expires`; returns false when it is of no use, to give it back. */
    virtual bool on_permit(const adapter_ref& adapter, time_point expires, step& now) = 0;
};

/** The live agent that directs the weight store, by rendezvous hashing; nullopt without agents. */
std::optional<node_id> choose_director(const std::vector<node_id>& live);

/**
 * The service "load_pacer" of an agent: asks the director of the weight store for permits. When the
 * director does not answer, the agent paces itself by its part of the rate. Not thread safe.
 *
 * @code
 * auto& pacer = kernel.find<load_pacer>("load_pacer");
 * pacer.set_sink(agent);                  // in attach()
 * pacer.set_live(live_agents);            // whenever membership changes
 * pacer.want(schedule.wants, now);        // after each schedule
 * pacer.finished(adapter, now);           // when the load's result is in
 * @endcode
 */
class load_pacer final : public service {
public:
    static constexpr std::string_view service_name = "load_pacer";

    explicit load_pacer(store_limit limit);

    /** The limit that the operators' text states from now on. */
    void set_limit(store_limit limit);

    std::string_view name() const noexcept override { return service_name; }

    /** Who is told of permits. Precondition: `sink` outlives the pacer. */
    void set_sink(load_permit_sink& sink) noexcept { sink_ = &sink; }

    /** The agents that live, this one among them. */
    void set_live(std::vector<node_id> live);

    /** Replaces what this agent wants. */
    void want(std::vector<load_want> wants, step& now);

    /** The permitted load of the adapter has ended, well or badly. */
    void finished(const adapter_ref& adapter, step& now);

    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;

private:
    struct permitted_load {
        adapter_ref adapter;
        time_point since;
    };

    void ask(step& now);
    void pace_alone(step& now);
    void arm(step& now);
    bool director_silent(time_point now) const;
    void take(std::uint64_t grant, const adapter_ref& adapter, time_point expires, step& now);

    store_limit limit_;
    load_permit_sink* sink_ = nullptr;
    std::vector<node_id> live_;
    std::optional<node_id> director_;
    std::vector<load_want> wants_;
    std::map<std::uint64_t, time_point>
        asked_at_; /**< By sequence, until it is too old to matter. */
    std::map<std::uint64_t, time_point> seen_grants_;
    std::map<std::uint64_t, permitted_load> running_; /**< By grant. */
    std::map<std::uint64_t, time_point>
        finished_; /**< Told for a while, as messages may be lost. */
    std::uint64_t sequence_ = 0;
    std::optional<time_point> unanswered_since_;
    std::optional<time_point> next_alone_;
    bool armed_ = false;
};

} // namespace camphorgrade::placement
