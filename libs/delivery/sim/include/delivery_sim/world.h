#pragma once

#include <delivery_sim/directory.h>
#include <delivery_sim/request_spec.h>
#include <delivery_sim/sim_agent.h>
#include <delivery_sim/sim_gateway.h>
#include <harness/fake_cluster.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::delivery::sim {

/** Size and times of a world. A value type. */
struct world_settings {
    std::uint64_t seed = 5;
    unsigned gateways = 2;
    unsigned agents = 3;
    once_settings once;
    delivery_settings delivery;
    retry_budget_settings budget;
    duration first_chunk{20}; /**< From call to the head of the backend server's answer. */
    duration next_chunk{5};
    unsigned chunks = 4;
    duration backend_restart{300};
    bool backends_visible = true; /**< Whether gateways learn that a backend server is down. */
    duration knowledge_lag{100};  /**< Until gateways know that an agent or backend changed. */
};

/** One thing that happened, as a trace states it. A value type. */
struct observation {
    std::int64_t at_ms = 0; /**< Since the world began. */
    std::string what;

    friend bool operator==(const observation&, const observation&) = default;
};

/**
 * Gateways "g1".., agents "a1".. with a backend server each, callers and the key-value service, on
 * one fake clock. A body that begins with "poison" ends the backend server that runs it. The
 * backend servers' own counts judge what ran. Deterministic for a seed. Not thread safe.
 *
 * @code
 * world simulated({.seed = 7});
 * simulated.submit({.name = "r1", .gateway = node_id{"g1"}, .body = "hello"});
 * simulated.run_for(duration{1'000});
 * assert(simulated.callers().at("r1").bytes == world::whole_answer("hello", 4));
 * @endcode
 */
class world final : public harness::fake_backend, public caller_observer, public admission {
public:
    explicit world(const world_settings& settings);

    void submit(const request_spec& spec);
    void drop_caller(const std::string& name);

    /** The keys of an account stop working. */
    void withdraw(const std::string& account);

    void kill(const node_id& node);
    void restart(const node_id& node);
    void kill_backend(const node_id& agent);
    void leave(const node_id& agent);
    void run_for(duration span);

    harness::fake_cluster& cluster() noexcept { return cluster_; }

    /** Milliseconds since the world began. */
    std::int64_t now_ms() const;

    const std::map<std::string, caller_view>& callers() const noexcept { return callers_; }
    const std::map<std::string, delivery_ended>& ended() const noexcept { return ended_; }

    /** How often backend servers began to run a request with this body. */
    unsigned runs(const std::string& body) const;

    /** When a gateway last sent an attempt to the agent, in milliseconds; 0 for never. */
    std::int64_t last_offer_ms(const node_id& agent) const;

    /** Backend calls made at all. */
    std::uint64_t calls() const noexcept { return call_count_; }

    const std::vector<observation>& observations() const noexcept { return observations_; }

    /** What an engine answers to a body. */
    static std::string whole_answer(const std::string& body, unsigned chunks);

    void on_call(const node_id& node, const call_backend& call) override;
    void on_cancel(const node_id& node, call_id call) override;
    void on_answer(const std::string& name, const call_progress& part) override;
    void on_refusal(const std::string& name, const refusal& reason) override;
    void on_ended(const std::string& name, const delivery_ended& how) override;
    bool admits(const std::string& account) const override;

private:
    using running_call = std::pair<node_id, call_id>;

    void add_gateway(const node_id& name);
    void add_agent(const node_id& name);
    void later(duration delay, std::function<void()> action);
    void progress(const running_call& id, const call_progress& next);
    void next_chunk(const running_call& id, const std::string& body, unsigned index);
    void note(std::string what);
    void watch(const node_id& node, const effect& seen);

    world_settings settings_;
    directory known_;
    std::map<node_id, bool> backend_up_;
    std::map<running_call, std::string> running_; /**< Service that made the call. */
    std::map<std::string, unsigned> runs_;
    std::map<std::string, caller_view> callers_;
    std::map<std::string, delivery_ended> ended_;
    std::map<std::string, node_id> gateway_of_;
    std::map<std::string, std::string> body_of_;
    std::multimap<time_point, std::function<void()>> later_;
    std::vector<observation> observations_;
    std::map<node_id, std::int64_t> last_offer_ms_;
    std::set<std::string> withdrawn_;
    std::uint64_t call_count_ = 0;
    harness::fake_cluster cluster_;
    time_point began_;
};

} // namespace camphorgrade::delivery::sim
