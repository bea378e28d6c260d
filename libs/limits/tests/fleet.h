#pragma once

#include "window_bound.h"

#include <harness/fake_cluster.h>
#include <limits/limits_service.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::limits::test {

/** Keys known to be withdrawn, in memory only. */
class memory_withdrawals final : public service, public membership::withdrawal_log {
public:
    std::string_view name() const noexcept override { return "keys"; }
    void attach(micro_kernel& kernel) override {
        kernel.find<membership::standing_service>("standing").set_withdrawal_log(*this);
    }

    std::uint64_t size() const override { return items_.size(); }
    std::uint64_t digest() const override { return digest_; }
    std::vector<std::string> since(std::uint64_t position, std::size_t limit) const override {
        std::vector<std::string> found;
        while (position < items_.size() && found.size() < limit) {
            found.push_back(items_[position++]);
        }
        return found;
    }
    void merge(const std::vector<std::string>& items, time_point /*now*/) override {
        for (const std::string& each : items) {
            if (known_.insert(each).second) {
                items_.push_back(each);
                digest_ ^= std::hash<std::string>{}(each);
            }
        }
    }
    bool withdrawn(const std::string& key) const { return known_.count(key) != 0; }

private:
    std::vector<std::string> items_;
    std::set<std::string> known_;
    std::uint64_t digest_ = 0;
};

/** One admission as the account's owner sees it. */
struct received {
    time_point at;
    micro_tokens net = 0;
};

/** A few gateways and agents, and a record of all that was admitted. */
class fleet {
public:
    static constexpr const char* tenant = "tenant";

    fleet(std::uint64_t seed, std::size_t gateways, std::size_t agents, limits_options options = {})
        : cluster(seed), options_(options) {
        for (std::size_t i = 0; i < agents; ++i) {
            add_node(node_id{"10.0.1." + std::to_string(i) + ":7000"}, membership::node_role::agent,
                     "dc-" + std::to_string(i % 3));
            agents_.push_back(cluster.nodes().back());
        }
        for (std::size_t i = 0; i < gateways; ++i) {
            const node_id name{"10.0.0." + std::to_string(i) + ":7000"};
            add_node(name, membership::node_role::gateway, "dc-" + std::to_string(i % 3));
            gateways_.push_back(name);
        }
    }

    void start(std::int64_t rate, std::int64_t burst) {
        cluster.run_for(duration{15'000});
        set_limit(rate, burst);
        cluster.run_for(duration{2'000});
    }

    const std::vector<node_id>& gateways() const { return gateways_; }
    const std::vector<node_id>& agents() const { return agents_; }

    limits_service& limits(const node_id& gateway) {
        return cluster.kernel(gateway).find<limits_service>("limits");
    }
    membership::standing_service& standing(const node_id& node) {
        return cluster.kernel(node).find<membership::standing_service>("standing");
    }
    membership::membership_service& membership(const node_id& node) {
        return cluster.kernel(node).find<membership::membership_service>("membership");
    }
    memory_withdrawals& keys(const node_id& node) {
        return cluster.kernel(node).find<memory_withdrawals>("keys");
    }
    bool usable(const node_id& node) const { return cluster.alive(node) && !cluster.paused(node); }

    /** Sets the account's limits on every gateway that runs; the others learn when they come back.
     */
    void set_limit(std::int64_t rate, std::int64_t burst) {
        limit_ = {tenant, rate, burst};
        ++revision_;
        for (const node_id& each : gateways_) {
            refresh(each);
        }
    }

    /** Gives a gateway the newest configuration, if it runs. */
    void refresh(const node_id& gateway) {
        if (usable(gateway)) {
            cluster.act(gateway, [&](micro_kernel& kernel, step& now) {
                kernel.find<limits_service>("limits").set_accounts({limit_}, revision_, now);
            });
            in_force_[gateway] = limit_;
        }
        note_allowed();
    }

    /** The widest limits that any living gateway knows, over time. */
    const std::vector<allowed_limit>& allowed() const { return allowed_; }

    admission admit(const node_id& gateway, std::int64_t cost,
                    duration patience = duration{5'000}) {
        admission answer;
        cluster.act(gateway, [&](micro_kernel& kernel, step& now) {
            answer = kernel.find<limits_service>("limits").admit(tenant, cost,
                                                                 now.time() + patience, now);
        });
        const auto life = cluster.kernel(gateway).life().value();
        if (answer.state == admission_state::admitted) {
            note_admitted(gateway, life, answer.ticket, cost);
        } else if (answer.state == admission_state::waiting) {
            waiting_[{gateway, life, answer.ticket}] = cost;
        }
        return answer;
    }

    /** Ends the oldest admission that still runs on a running gateway. */
    void credit_oldest(std::int64_t unused_percent) {
        for (auto each = running_.begin(); each != running_.end(); ++each) {
            const auto& [gateway, life, ticket] = each->first;
            if (!usable(gateway) || cluster.kernel(gateway).life().value() != life) {
                continue;
            }
            const auto [index, cost] = each->second;
            const admission_ticket ended = ticket;
            cluster.act(gateway, [&, i = index, c = cost](micro_kernel& kernel, step& now) {
                received_[i].net -= kernel.find<limits_service>("limits").credit(
                    ended, c * unused_percent / 100, now);
            });
            running_.erase(each);
            return;
        }
    }

    /** Sums over all running gateways. */
    share held() {
        return sum_where([&](const node_id& each) { return cluster.alive(each); });
    }

    /** Sums over the gateways that may admit now, or will once they are resumed. */
    share held_with_standing() {
        return sum_where([&](const node_id& each) {
            return cluster.alive(each) && standing(each).has_standing(cluster.now());
        });
    }
    const std::vector<received>& all_received() const { return received_; }
    std::size_t refused_late() const { return refused_late_; }

    harness::fake_cluster cluster;

private:
    using ticket_key = std::tuple<node_id, std::uint64_t, admission_ticket>;

    struct running_admission {
        std::size_t index;
        std::int64_t cost;
    };

    /** Hands what happens to waiting requests to the fleet. */
    class listener final : public service, public admission_listener {
    public:
        listener(fleet& owner, node_id self) : owner_(owner), self_(std::move(self)) {}
        std::string_view name() const noexcept override { return "listener"; }
        void attach(micro_kernel& kernel) override {
            kernel.find<limits_service>("limits").set_listener(*this);
        }
        void on_admitted(admission_ticket ticket, step& now) override {
            const ticket_key key{self_, now.life().value(), ticket};
            owner_.note_admitted(self_, now.life().value(), ticket, owner_.waiting_.at(key));
            owner_.waiting_.erase(key);
        }
        void on_refused(admission_ticket ticket, const admission_refusal& /*refusal*/,
                        step& now) override {
            owner_.waiting_.erase({self_, now.life().value(), ticket});
            ++owner_.refused_late_;
        }

    private:
        fleet& owner_;
        node_id self_;
    };

    void add_node(const node_id& name, membership::node_role role, const std::string& data_centre) {
        cluster.add(name, [this, role, data_centre](micro_kernel& kernel) {
            const membership::node_info self{kernel.self(),
                                             kernel.life(),
                                             role,
                                             data_centre,
                                             "",
                                             membership::node_state::active};
            kernel.add(std::make_unique<membership::membership_service>(self));
            kernel.add(std::make_unique<membership::standing_service>(self));
            kernel.add(std::make_unique<memory_withdrawals>());
            if (role == membership::node_role::gateway) {
                kernel.add(std::make_unique<limits_service>(options_));
                kernel.add(std::make_unique<listener>(*this, kernel.self()));
            }
        });
    }

    template <typename Counts>
    share sum_where(Counts counts) {
        share sum;
        for (const node_id& each : gateways_) {
            if (!counts(each)) {
                continue;
            }
            for (const account_metrics& of : limits(each).metrics(cluster.now())) {
                sum.rate_parts += std::llround(of.rate_share * whole);
                sum.burst_parts += std::llround(of.burst_share * whole);
                sum.level += static_cast<micro_tokens>(of.level_tokens * micro_tokens_per_token);
            }
        }
        return sum;
    }

    void note_allowed() {
        allowed_limit widest{cluster.now(), limit_.rate_tokens_per_s, limit_.burst_tokens,
                             received_.size()};
        for (const auto& [gateway, known] : in_force_) {
            if (cluster.alive(gateway)) {
                widest.rate_tokens_per_s =
                    std::max(widest.rate_tokens_per_s, known.rate_tokens_per_s);
                widest.burst_tokens = std::max(widest.burst_tokens, known.burst_tokens);
            }
        }
        allowed_.push_back(widest);
    }

    void note_admitted(const node_id& gateway, std::uint64_t life, admission_ticket ticket,
                       std::int64_t cost) {
        running_[{gateway, life, ticket}] = {received_.size(), cost};
        received_.push_back({cluster.now(), cost * micro_tokens_per_token});
    }

    limits_options options_;
    std::vector<node_id> gateways_;
    std::vector<node_id> agents_;
    account_limit limit_{tenant, 0, 0};
    std::uint64_t revision_ = 0;
    std::map<node_id, account_limit> in_force_;
    std::vector<allowed_limit> allowed_;
    std::vector<received> received_;
    std::map<ticket_key, std::int64_t> waiting_;
    std::map<ticket_key, running_admission> running_;
    std::size_t refused_late_ = 0;
};

} // namespace camphorgrade::limits::test
