#pragma once

#include <kernel/service.h>
#include <membership/node_info.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::membership {

/** Prefix of the registrations in the key-value service. */
inline constexpr const char* nodes_prefix = "/camphorgrade/nodes/";

/** Told when the list of nodes has changed. */
class membership_listener {
public:
    virtual ~membership_listener() = default;

    /** The list differs from before; called from the kernel's thread. */
    virtual void on_nodes_changed(step& now) = 0;
};

/** Times of the registration. */
struct membership_options {
    std::int64_t lease_ttl_s = 30;
    duration keep_alive_period{10'000};
    duration retry_period{1'000};
    duration poll_period{2'000}; /**< Of the list, until an epoch names witnesses. */
};

/**
 * Registers this process under a lease and knows the other processes.
 *
 * Only witnesses watch the key-value service; all other nodes are fed by the witnesses' answers, so
 * the number of watches stays the same in a larger fleet. See standing_service. Called from the
 * kernel's thread only.
 *
 * @code
 * kernel.add(std::make_unique<membership_service>(
 *     node_info{self, life, node_role::gateway, "dc-1", "", node_state::active}));
 * const auto& nodes = kernel.find<membership_service>("membership");
 * for (const node_info& agent : nodes.live_agents()) { ... }
 * @endcode
 */
class membership_service final : public service {
public:
    explicit membership_service(node_info self, membership_options options = {});

    std::string_view name() const noexcept override { return "membership"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;
    void on_shutdown(step& now) override;

    /** This process, as registered. */
    const node_info& self() const noexcept { return self_; }

    /** All known processes in address order, with leaving ones. */
    std::vector<node_info> nodes() const;

    /** Gateways that are not leaving, in address order. */
    std::vector<node_info> live_gateways() const;

    /** Agents that are not leaving, in address order. */
    std::vector<node_info> live_agents() const;

    /** The process at that address, or null; valid until the list changes. */
    const node_info* find(const node_id& address) const;

    /** Store revision of the list; grows. */
    std::int64_t revision() const noexcept { return revision_; }

    /** Takes over a list from another node if it is newer. */
    void merge(std::int64_t revision, const std::vector<node_info>& list, step& now);

    /** Whether this node watches the store itself; set by the standing service. */
    void set_watching(bool watching, step& now);

    /** Whether others feed this node, so that it need not poll; set by the standing service. */
    void set_fed(bool fed) noexcept { fed_ = fed; }

    /** Ends the registration at once; the last act of a graceful shutdown. */
    void deregister(step& now);

    /** Adds a listener. Precondition: it outlives the kernel. */
    void add_listener(membership_listener& listener) { listeners_.push_back(&listener); }

    /** Calls made to the key-value service so far. */
    std::uint64_t store_calls() const noexcept { return store_calls_; }

private:
    enum class call_kind : token { grant = 1, read_self, put, keep_alive, range, watch, revoke };

    void call(call_kind kind, kv_request request, step& now);
    void arm(token id, duration after, step& now);
    void register_self(step& now);
    void read_self(step& now);
    void on_self_read(const kv_range_result& result, step& now);
    void read_all(step& now);
    void watch(step& now);
    void on_lease(call_kind kind, const kv_lease_result& lease, step& now);
    void on_range(const kv_range_result& result, step& now);
    void on_watch(const kv_watch_result& result, step& now);
    void on_failure(call_kind kind, step& now);
    void tell(step& now);
    std::vector<node_info> live(node_role role) const;

    node_info self_;
    membership_options options_;
    std::map<node_id, node_info> nodes_;
    std::int64_t revision_ = 0;
    std::int64_t lease_ = 0;
    bool registering_ = false;
    bool watching_ = false;
    bool watch_open_ = false;
    bool fed_ = false;
    bool deregistered_ = false;
    std::uint64_t store_calls_ = 0;
    std::vector<membership_listener*> listeners_;
};

} // namespace camphorgrade::membership
