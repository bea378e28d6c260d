#pragma once

#include "serving_fixture.h"

#include <kernel/random.h>
#include <serving/cold_servers.h>
#include <serving/permit_exchange.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::testing {

/** A fleet of gateways that share one limited server, under virtual time. */
struct permit_fleet_settings {
    std::size_t gateways = 4;
    /** Named by the server in its responses; empty: it names none. */
    std::optional<double> limit_per_s = 1;
    double requests_per_s = 20; /**< Of all callers together. */
    bool is_skewed = false;     /**< All callers use the first gateway. */
    double message_loss = 0;
    std::uint64_t seed = 1;
};

class permit_fleet {
public:
    static server_process limited_server() { return {"engine-1", 1'000}; }

    explicit permit_fleet(const permit_fleet_settings& settings)
        : settings_(settings), random_(settings.seed) {
        for (std::size_t i = 0; i < settings.gateways; ++i) {
            add_gateway("g" + std::to_string(i));
        }
        update_views();
    }

    /** Lets the time pass and returns when it ended. */
    time_point run(duration time) {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += step;
            learn_cold();
            deliver_messages();
            add_requests();
            for (auto& each : gateways_) {
                advance(*each);
            }
        }
        return now_;
    }

    void set_limit(double limit_per_s) {
        settings_.limit_per_s = limit_per_s;
        for (auto& each : gateways_) {
            each->name_limit(limit_per_s, now_);
        }
    }

    /** From now on the server is cold for `cold_left`. Each gateway learns it from the registration
        within `learning_time`, and sends nothing there before. */
    void make_cold(const service_catalogue& catalogue, duration cold_left, duration learning_time) {
        catalogue_ = catalogue;
        for (auto& each : gateways_) {
            each->may_use_server = false;
            const auto delay = random_.below(static_cast<std::uint64_t>(learning_time.count()) + 1);
            learning_.push_back({each->name, now_ + duration{static_cast<duration::rep>(delay)}});
        }
        cold_until_ = now_ + cold_left;
    }

    /** Restarts all gateways; each knows only itself until update_views(). */
    void restart_all() {
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            restart(i);
        }
    }

    /** The gateway neither acts nor receives anything; its peers notice after `detection`. */
    void freeze(std::size_t number) { gateways_[number]->is_frozen = true; }
    void thaw(std::size_t number) { gateways_[number]->is_frozen = false; }
    /** Messages between the gateway and its peers are lost. */
    void cut_off(std::size_t number, bool is_cut) { gateways_[number]->is_cut = is_cut; }

    void restart(std::size_t number) {
        const auto name = gateways_[number]->name;
        gateways_[number] = std::make_unique<gateway>(name);
        gateways_[number]->permits->set_gateways(name, {name}, now_);
        gateways_[number]->name_limit(settings_.limit_per_s, now_);
        if (now_ < cold_until_) {
            gateways_[number]->register_cold(catalogue_, cold_until_ - now_, now_);
        }
    }

    /** Passes what the gateways hear of each other's state on to them. */
    void update_views() {
        for (auto& each : gateways_) {
            std::vector<std::string> live;
            for (const auto& other : gateways_) {
                const bool is_heard = !other->is_frozen && !other->is_cut && !each->is_cut;
                if (other == each || is_heard) {
                    live.push_back(other->name);
                }
            }
            std::sort(live.begin(), live.end());
            if (!each->is_frozen) {
                each->permits->set_gateways(each->name, live, now_);
            }
        }
    }

    std::size_t granter() const {
        const auto name = gateways_.front()->permits->granter_of(limited_server());
        const auto found = std::find_if(gateways_.begin(), gateways_.end(),
                                        [&](const auto& each) { return each->name == name; });
        return static_cast<std::size_t>(found - gateways_.begin());
    }

    std::size_t arrivals(time_point from, time_point to) const {
        return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [&](time_point at) { return at >= from && at < to; }));
    }

    std::size_t max_arrivals(time_point from, duration window) const {
        std::size_t most = 0;
        for (auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
             first != arrivals_.end(); ++first) {
            const auto last = std::lower_bound(first, arrivals_.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    time_point now() const { return now_; }

private:
    static constexpr duration step{10};
    static constexpr std::uint32_t max_waiting = 4;

    struct gateway {
        explicit gateway(std::string own) : name(std::move(own)), effective(limits, cold) {
            permits = std::make_unique<permit_exchange>(effective, permit_exchange_settings{});
        }

        void name_limit(std::optional<double> limit_per_s, time_point now) {
            if (limit_per_s) {
                limits.on_response(limited_server(), limit_per_s, now, now);
                permits->on_limit_changed(limited_server(), now);
            }
        }

        /** Learns that the server is cold for `cold_left`, at the rate of `catalogue`. */
        void register_cold(const service_catalogue& catalogue, duration cold_left, time_point now) {
            cold.set_catalogue(catalogue);
            auto registered = server_of(limited_server().id, "llm");
            registered.cold_left = cold_left;
            cold.on_registration(registered, now);
            permits->on_limit_changed(limited_server(), now);
        }

        std::string name;
        server_limits limits;
        cold_servers cold;
        effective_limits effective;
        bool may_use_server = true;
        std::unique_ptr<permit_exchange> permits;
        std::uint32_t waiting = 0;
        bool is_frozen = false;
        bool is_cut = false;
    };

    struct sent_message {
        std::string from;
        permit_message message;
        time_point arrives_at;
    };

    struct learning_gateway {
        std::string gateway;
        time_point at;
    };

    void add_gateway(const std::string& name) {
        gateways_.push_back(std::make_unique<gateway>(name));
        gateways_.back()->name_limit(settings_.limit_per_s, now_);
        by_name_[name] = gateways_.size() - 1;
    }

    void learn_cold() {
        for (const auto& each : learning_) {
            auto& learner = *gateways_[by_name_.at(each.gateway)];
            if (now_ >= each.at && !learner.may_use_server && now_ < cold_until_) {
                learner.register_cold(catalogue_, cold_until_ - now_, now_);
                learner.may_use_server = true;
            }
        }
    }

    void add_requests() {
        pending_requests_ += settings_.requests_per_s * static_cast<double>(step.count()) / 1'000.0;
        for (; pending_requests_ >= 1; pending_requests_ -= 1) {
            const auto number = settings_.is_skewed ? 0 : random_.below(gateways_.size());
            auto& receiver = *gateways_[number];
            receiver.waiting = std::min(receiver.waiting + 1, max_waiting);
        }
    }

    void advance(gateway& each) {
        if (each.is_frozen) {
            return;
        }
        use_permits(each);
        const auto next = each.permits->next_advance_at(now_);
        if (each.waiting == 0 && (!next || *next > now_)) {
            return;
        }
        permit_demand demand;
        demand[limited_server()] = each.waiting;
        std::vector<server_process> replied;
        for (auto& message : each.permits->advance(demand, replied, now_)) {
            if (random_.unit() >= settings_.message_loss) {
                const auto delay =
                    duration{1 + static_cast<duration::rep>(random_.below(2 * step.count()))};
                messages_.push_back({each.name, std::move(message), now_ + delay});
            }
        }
        use_permits(each);
    }

    void use_permits(gateway& each) {
        while (each.waiting > 0 && each.may_use_server &&
               each.permits->may_send(limited_server(), now_)) {
            each.permits->take(limited_server(), now_);
            --each.waiting;
            arrivals_.push_back(now_);
        }
    }

    void deliver_messages() {
        std::vector<sent_message> later;
        for (auto& each : std::exchange(messages_, {})) {
            if (each.arrives_at > now_) {
                later.push_back(std::move(each));
                continue;
            }
            auto& receiver = *gateways_[by_name_.at(each.message.to)];
            const auto& sender = *gateways_[by_name_.at(each.from)];
            if (receiver.is_frozen || receiver.is_cut || sender.is_cut) {
                continue;
            }
            if (const auto* requests = std::get_if<permit_requests>(&each.message.body)) {
                receiver.permits->on_requests(each.from, *requests, now_);
            } else if (const auto* grants = std::get_if<permit_grants>(&each.message.body)) {
                receiver.permits->on_grants(each.from, *grants, now_);
            }
        }
        messages_.insert(messages_.end(), later.begin(), later.end());
    }

    permit_fleet_settings settings_;
    random_source random_;
    time_point now_ = at_ms(100'000);
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::map<std::string, std::size_t> by_name_;
    std::vector<sent_message> messages_;
    std::vector<time_point> arrivals_; // in order
    double pending_requests_ = 0;
    service_catalogue catalogue_;
    time_point cold_until_;
    std::vector<learning_gateway> learning_;
};

} // namespace camphorgrade::testing
