#pragma once

#include <kernel/service.h>
#include <limits/account_share.h>
#include <limits/admission.h>
#include <limits/demand_meter.h>
#include <limits/gift_policy.h>
#include <limits/share_audit.h>
#include <limits/transfer_book.h>
#include <membership/standing_service.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::wire {
class audit_report;
class audit_started;
class limits_message;
class share_transfer;
class share_wanted;
class transfer_acknowledged;
} // namespace camphorgrade::wire

namespace camphorgrade::limits {

/** Times and bounds of the exchange of shares. */
struct limits_options {
    duration longest_wait{1'000};  /**< For tokens, before a request is refused. */
    duration answer_patience{150}; /**< For a peer's answer to a request for tokens. */
    duration dry_period{200};      /**< Not asking again after peers had nothing to give. */
    duration balance_period{250};  /**< Of asking ahead of need. */
    duration resend_after{200};    /**< Of transfers not acknowledged. */
    duration audit_period{5'000};
    duration audit_resend{500};
    duration audit_patience{3'000};
    std::size_t asked_at_once = 3;
    std::size_t most_asked = 8; /**< In one round, unless a request needs all. */
};

/**
 * Admits requests against the client accounts' rates and bursts, which all gateways share.
 *
 * Each gateway holds a part of each account and admits from it alone; short of tokens it asks
 * others and lets the request wait for a bounded time. Standing is checked in the step that admits.
 * See docs/design/standing.md and docs/design/limits.md. Called from the kernel's thread only.
 *
 * @code
 * auto& limits = kernel.find<limits_service>("limits");
 * limits.set_accounts({{"tenant", 1'000, 60'000}}, revision, now);
 * const admission answer = limits.admit("tenant", prompt + max_tokens, deadline, now);
 * limits.credit(answer.ticket, max_tokens - generated, now);
 * @endcode
 */
class limits_service final : public service, private membership::standing_listener {
public:
    explicit limits_service(limits_options options = {});

    std::string_view name() const noexcept override { return "limits"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;

    /** Told of requests that waited. Precondition: outlives the kernel. */
    void set_listener(admission_listener& listener) { listener_ = &listener; }

    /**
     * Takes over all accounts of configuration `revision`; an older revision than the one in force
     * is ignored. Waiting requests of accounts that are gone are refused.
     * Precondition: names are unique, rates and bursts are not negative.
     */
    void set_accounts(const std::vector<account_limit>& accounts, std::uint64_t revision,
                      step& now);

    /**
     * Charges `cost_tokens` to the account, or makes the request wait for them until `deadline` at
     * most, or refuses it. Precondition: `cost_tokens` is not negative.
     */
    admission admit(const std::string& client_account, std::int64_t cost_tokens,
                    time_point deadline, step& now);

    /**
     * Ends an admitted request that did not use `unused_tokens` of its charge. Call it once for
     * each admission, with the whole charge if the request did not run. An unknown ticket is
     * ignored: this gateway has left and joined again since. Returns what the window bound let it
     * give back. Precondition: `unused_tokens` is not negative.
     */
    micro_tokens credit(admission_ticket ticket, std::int64_t unused_tokens, step& now);

    /** Gives up a waiting request; no listener is told. An unknown ticket is ignored. */
    void cancel(admission_ticket ticket, step& now);

    /**
     * Whether this gateway has joined a round of audit, so that the accounts' shares are held by
     * someone. Before, in a fleet that has just started, it could only refuse.
     */
    bool shares_held() const noexcept { return generation_ != 0 && book_.round() != 0; }

    /** Refuses all further requests and gives all shares to a peer. See handed_back(). */
    void hand_back(step& now);

    /** Whether after hand_back() all shares are known to have arrived; then leave the epoch. */
    bool handed_back() const;

    /** Counters of all accounts, by name. */
    std::vector<account_metrics> metrics(time_point now) const;

private:
    struct waiting_request {
        admission_ticket ticket;
        micro_tokens cost = 0;
        time_point until;
    };

    struct admitted_request {
        std::string client_account;
        std::uint64_t admission = 0;
        micro_tokens cost = 0;
    };

    /** One search for tokens among the peers. */
    struct search {
        std::vector<std::uint64_t> to_ask;
        std::map<std::uint64_t, time_point> asked;
        bool active = false;
        time_point dry_until{};
    };

    struct account {
        account_share held;
        bool configured = false;
        demand_meter demand;
        std::deque<waiting_request> queue;
        micro_tokens awaited = 0;
        search peers;
        account_metrics counts;
    };

    using account_entry = std::map<std::string, account>::value_type;

    void on_epoch_changed(step& now) override;

    // Admission (limits_service.cpp)
    admission refuse(account& of, refusal_reason reason, duration retry_after) const;
    std::optional<admission_ticket> try_charge(account_entry& entry, micro_tokens cost,
                                               admission_ticket ticket, step& now);
    void drain(account_entry& entry, step& now);
    void refuse_waiting(account& of, std::size_t index, refusal_reason reason, step& now);
    void refuse_where(account& of, refusal_reason reason, step& now,
                      const std::function<bool(const waiting_request&)>& meant);
    void refuse_all_waiting(account& of, refusal_reason reason, step& now);
    void refuse_hopeless(account& of, step& now);
    void refuse_expired(account& of, step& now);
    duration time_to_grow(const account& of, micro_tokens amount, time_point now) const;
    void forget_everything(step& now);
    void arm(time_point at, step& now);
    void arm_next(step& now);

    // Exchange (limits_exchange.cpp)
    void start_search(account_entry& entry, step& now);
    void continue_search(account_entry& entry, step& now);
    void answered(account_entry& entry, std::uint64_t peer, step& now);
    void ask(account_entry& entry, std::uint64_t peer, micro_tokens wanted, bool urgent, step& now);
    void balance(account_entry& entry, step& now);
    void on_wanted(const wire::share_wanted& wanted, const message& received, step& now);
    void on_transfer(const wire::share_transfer& content, const message& received, step& now);
    void on_acknowledged(const wire::transfer_acknowledged& content, const message& received);
    void give(account_entry& entry, std::uint64_t receiver, const share& gift, step& now);
    void give_all_away(step& now);
    void send_transfer(const transfer& content, step& now);
    void send(std::uint64_t generation, const wire::limits_message& content, step& now);
    std::vector<std::uint64_t> peers() const;
    std::uint64_t generation_of(const message& received) const;

    // Audit (limits_audit.cpp)
    void run_audit(step& now);
    void start_audit(step& now);
    void send_audit(step& now);
    void finish_audit(step& now);
    audit_holdings join_round(std::uint64_t round, const std::set<std::uint64_t>& dead);
    void on_audit(const wire::audit_started& content, const message& received, step& now);
    void on_report(const wire::audit_report& content, const message& received, step& now);

    limits_options options_;
    membership::standing_service* standing_ = nullptr;
    admission_listener* listener_ = nullptr;
    std::map<std::string, account> accounts_;
    std::map<admission_ticket, admitted_request> admitted_;
    std::map<admission_ticket, std::string> waiting_;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t revision_ = 0;
    std::uint64_t generation_ = 0;
    std::set<std::uint64_t> members_;
    transfer_book book_;
    audit_holdings reported_; /**< In the round joined last, to repeat a lost report. */
    std::optional<share_audit> audit_;
    std::uint64_t audit_count_ = 0;
    std::uint64_t audit_epoch_ = 0;
    std::set<std::uint64_t> audit_dead_;
    time_point audit_started_{};
    time_point audit_sent_{};
    time_point next_audit_{};
    time_point next_balance_{};
    bool leaving_ = false;
    token timer_ = 0;
    std::optional<time_point> armed_;
};

} // namespace camphorgrade::limits
