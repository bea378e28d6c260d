#pragma once

#include <keys/key_book.h>

#include <config/peer_view.h>
#include <config/store_follower.h>

#include <kernel/service.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::wire {
class key_gossip;
class key_news;
} // namespace camphorgrade::wire

namespace camphorgrade::keys {

/** Times of the key service. */
struct key_service_options {
    std::string data_centre;       /**< Where this process runs. */
    duration tick{250};            /**< How often due work is looked for. */
    duration gossip_period{1'000}; /**< Between digests sent to one peer chosen at random. */
    duration watch_grace{5'000};   /**< A process that knows no peers waits so long to watch. */
    config::follower_timing store;

    friend bool operator==(const key_service_options&, const key_service_options&) = default;
};

/** What a process knows of keys, for operators. A value type. */
struct key_status {
    std::size_t records = 0;
    std::size_t withdrawn = 0;
    std::size_t unwritten = 0; /**< Withdrawals that this process has yet to write. */
    std::uint64_t malformed = 0;
    bool watcher = false;
    std::uint64_t store_calls = 0;

    friend bool operator==(const key_status&, const key_status&) = default;
};

/**
 * Knows which keys are valid, from the key-value service and from peers.
 *
 * A withdrawal taken here is in force here at once, goes to the peers, and is written to the
 * key-value service as soon as that answers: by this process, or by those that watch the service.
 * Called from the kernel's thread only.
 *
 * @code
 * kernel.add(std::make_unique<key_service>(options, peers));
 * const auto& keys = kernel.find<key_service>("keys");
 * const key_check checked = keys.check(bearer);
 * @endcode
 */
class key_service final : public service {
public:
    /** Precondition: `peers` outlives the service. */
    key_service(key_service_options options, const config::peer_view& peers);

    std::string_view name() const noexcept override { return "keys"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;
    void on_message(const message& received, step& now) override;

    /** Checks what a caller presented. */
    key_check check(std::string_view presented) const { return book_.check(presented); }

    /** Whether the id was withdrawn; ask again before a request that has waited is run. */
    bool withdrawn(std::string_view id) const { return book_.withdrawn(id); }

    /** Withdraws a key by an operator's order; holds from this call on. */
    key_merge withdraw(std::string_view id, step& now);

    /** Number of withdrawals known; they are numbered from 0 in the order of arrival. */
    std::uint64_t withdrawal_count() const noexcept { return book_.withdrawals().size(); }

    /** Equal on two nodes that know the same withdrawals. */
    std::uint64_t withdrawn_digest() const noexcept { return book_.withdrawn_digest().mix; }

    /** Ids from `position` on, at most `limit`; empty when `position` is the count or more. */
    std::vector<std::string> withdrawals_since(std::uint64_t position, std::size_t limit) const;

    /** Takes over ids that another node holds; in force from this call on. */
    void merge_withdrawals(const std::vector<std::string>& ids);

    key_status status() const;

private:
    void follow_store(step& now);
    void gossip(step& now);
    void flush(step& now);
    bool learn_record(const kv_entry& entry);
    bool learn_withdrawn(const kv_entry& entry);
    void take_news(const wire::key_news& news);
    void on_digest(const wire::key_gossip& content, const node_id& from, step& now);
    void on_summary(const wire::key_gossip& content, const node_id& from, step& now);
    void push(const wire::key_news& news, step& now);
    void transmit(const node_id& to, const wire::key_gossip& content, step& now);

    key_service_options options_;
    const config::peer_view* peers_;
    config::store_follower record_follower_;
    config::store_follower withdrawn_follower_;
    key_book book_;
    std::set<key_id_text, std::less<>> stored_;   // withdrawals seen in the key-value service
    std::set<key_id_text, std::less<>> accepted_; // ordered here and not yet seen there
    std::optional<token> write_;
    time_point next_write_{};
    time_point next_gossip_{};
    time_point started_{};
    bool watcher_ = false;
    token next_call_ = 1;
    std::uint64_t writes_ = 0;
    std::uint64_t malformed_ = 0;
};

} // namespace camphorgrade::keys
