#pragma once

#include <harness/faults.h>
#include <kernel/micro_kernel.h>
#include <kvstore/memory_store.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::harness {

/** Stands in for the backend servers of the nodes of a fake_cluster. Not thread safe. */
class fake_backend {
public:
    virtual ~fake_backend() = default;

    /**
     * A node started a call. The backend answers through fake_cluster::post_later with
     * call_progressed events.
     */
    virtual void on_call(const node_id& node, const call_backend& call) = 0;

    /** A node cut a call off. */
    virtual void on_cancel(const node_id& node, call_id call) = 0;
};

/**
 * Runs many micro-kernels on one fake clock, a faulty network and a faulty key-value service.
 * Deterministic for a seed. For tests and experiments. Not thread safe.
 *
 * @code
 * fake_cluster cluster(5);
 * cluster.add(node_id{"10.0.0.1:7000"}, [](micro_kernel& kernel) {
 *     kernel.add(std::make_unique<my_service>());
 * });
 * cluster.network().loss = 0.1;
 * cluster.run_for(duration{1'000});
 * @endcode
 */
class fake_cluster {
public:
    using setup = std::function<void(micro_kernel&)>;
    using observer = std::function<void(const node_id&, const effect&)>;

    explicit fake_cluster(std::uint64_t seed);

    /** Adds a node and starts its first life. Precondition: no node of that name yet. */
    void add(const node_id& node, setup build);

    /** Ends a node at once; its state, timers and open calls are gone. Precondition: alive. */
    void kill(const node_id& node);

    /** Starts a new life of a killed node. Precondition: killed. */
    void restart(const node_id& node);

    /** Freezes a node; its events wait until resume(). Precondition: alive. */
    void pause(const node_id& node);

    /** Thaws a node: what waited is handled now. Precondition: paused. */
    void resume(const node_id& node);

    /** Cuts messages between two nodes, both ways, until heal(). */
    void cut(const node_id& left, const node_id& right);

    /** Cuts a node off from the key-value service until heal(). */
    void cut_from_store(const node_id& node);

    /** Ends all cuts. */
    void heal();

    bool alive(const node_id& node) const;
    bool paused(const node_id& node) const;

    /** Names of all nodes, alive or not, in order. */
    std::vector<node_id> nodes() const;

    /** The kernel of a node. Precondition: alive. */
    micro_kernel& kernel(const node_id& node);

    /** Hands an event to a node now. Dropped when it is not alive. */
    void post(const node_id& node, const event& happened);

    /** Hands an event to a node's present life after a delay. */
    void post_later(const node_id& node, event happened, duration delay);

    /** Runs `action` after a delay, whatever becomes of the nodes. */
    void schedule_in(duration delay, std::function<void()> action) {
        schedule(now() + delay, std::move(action));
    }

    /**
     * Calls `act` with a step of the node at the present time and carries out its effects, as if
     * an event had led to them. Precondition: alive and not paused.
     */
    void act(const node_id& node, const std::function<void(micro_kernel&, step&)>& action);

    /** Runs all that is due until `span` has passed. */
    void run_for(duration span);

    /** Common time of the cluster. */
    time_point now() const noexcept { return clock_.now(); }

    network_faults& network() noexcept { return network_; }
    store_faults& store() noexcept { return store_faults_; }

    /** The state of the key-value service, for assertions. */
    memory_store& store_state() noexcept { return store_; }

    /** Calls the key-value service got so far; a waiting watch counts as one. */
    std::uint64_t store_calls() const noexcept { return store_calls_; }

    /** Messages and bytes handed to the network so far. */
    std::uint64_t messages_sent() const noexcept { return messages_sent_; }
    std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

    /** Sees every effect, in order. */
    void observe(observer watcher) { observer_ = std::move(watcher); }

    /** Answers backend calls; without one they fail as not sent. Not owned. */
    void answer_calls_with(fake_backend* backend) { backend_ = backend; }

private:
    struct node_state {
        setup build;
        std::unique_ptr<micro_kernel> kernel; // none while dead
        std::uint64_t lives = 0;
        bool paused = false;
        std::vector<event> backlog;
    };
    struct scheduled {
        time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> act;

        bool operator<(const scheduled& other) const {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };
    struct waiting_watch {
        node_id node;
        std::uint64_t life = 0;
        call_kv call;
        time_point until;
    };

    void schedule(time_point at, std::function<void()> act);
    void start_life(const node_id& name, node_state& started);
    void deliver(const node_id& name, std::uint64_t life, const event& happened);
    void carry_out(const node_id& name, std::uint64_t life, const std::vector<effect>& effects);
    void carry_out_one(const node_id& name, std::uint64_t life, const effect& one);
    void transmit(const message& content);
    void transmit_once(const message& content);
    void call_store(const node_id& name, std::uint64_t life, const call_kv& call);
    void apply_call(const node_id& name, std::uint64_t life, const call_kv& call);
    void reply_later(const node_id& name, std::uint64_t life, const call_kv& call, kv_reply reply,
                     duration delay);
    void serve_watches();
    bool is_cut(const node_id& left, const node_id& right) const;

    manual_clock clock_;
    random_source random_;
    network_faults network_;
    store_faults store_faults_;
    memory_store store_;
    std::map<node_id, node_state> nodes_;
    std::set<std::pair<node_id, node_id>> cuts_;
    std::set<node_id> store_cuts_;
    std::priority_queue<scheduled> due_;
    std::vector<waiting_watch> watches_;
    observer observer_;
    fake_backend* backend_ = nullptr;
    std::uint64_t sequence_ = 0;
    std::uint64_t store_calls_ = 0;
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace camphorgrade::harness
