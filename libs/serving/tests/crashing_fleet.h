#pragma once

#include "serving_fixture.h"

#include <kernel/random.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
 * @file
 * Several real dispatchers (gateways) before scripted backend servers. A server reads prompts one
 * after the other and crashes when it begins to answer a request that holds the bad part.
 */
namespace camphorgrade::testing {

inline constexpr std::uint64_t common_part = 1;
inline constexpr std::uint64_t bad_part = 666;
inline constexpr std::uint64_t first_document_part = 10;
inline constexpr std::uint64_t first_session_part = 1'000'000;

/** What a crashing_fleet plays. Durations are in milliseconds. */
struct crashing_fleet_script {
    std::size_t gateways = 8;
    std::size_t servers = 12;
    std::uint64_t documents = 40; /**< Parts that share the second place of the prompts. */
    double requests_per_s = 60;
    double bad_share = 0.12;
    /** Requests hold the bad part from the start; it is sound until bad_from. */
    bool is_sound_before = false;
    duration bad_from{5'000};
    duration bad_until{30'000};
    duration end{31'000};
    duration prefill_time{30}; /**< Time to read one prompt. */
    duration answer_time{500}; /**< From the first event to the last. */
    duration restart_time{4'000};
    duration report_interval{100};
    duration complete_interval{900};
    duration report_delay{100};
    duration stable_time{3'000};
    std::uint64_t seed = 1;
};

/** What callers and servers saw. */
struct crashing_fleet_result {
    std::size_t crashes = 0;
    std::size_t late_bad_sends = 0;    /**< Later than stable_time after the fifth crash. */
    std::size_t late_sound = 0;        /**< Sound requests later than twice that. */
    std::size_t late_sound_begun = 0;  /**< Of these, those whose first attempt began. */
    std::size_t untrue_refusals = 0;   /**< Ended as not run although they were sent. */
    std::size_t sound_quarantined = 0; /**< Sound requests that ended as quarantined. */
};

class crashing_fleet {
public:
    explicit crashing_fleet(crashing_fleet_script script) : script_(script), random_(script.seed) {
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            gateways_.push_back(
                std::make_unique<dispatcher>(dispatcher_settings{}, "dc-1", script_.seed + i));
            auto catalogue = small_catalogue();
            catalogue.routes.front().max_attempts = 2;
            catalogue.routes.front().is_resumable = true;
            catalogue.accounts.front().rate_per_s = 1e9;
            catalogue.accounts.front().burst = 1e9;
            gateways_.back()->set_catalogue(catalogue, now_);
        }
        for (std::size_t i = 0; i < script_.servers; ++i) {
            start_server();
        }
    }

    crashing_fleet_result play() {
        while (now_ < at_ms(0) + script_.end) {
            now_ += duration{1};
            arrive();
            run_servers();
            exchange();
            if (now_.time_since_epoch().count() % tick_interval.count() == 0) {
                for (std::size_t i = 0; i < gateways_.size(); ++i) {
                    gateways_[i]->tick(now_);
                    execute(i);
                }
            }
        }
        return result_;
    }

private:
    static constexpr duration tick_interval{50};

    struct caller_request {
        bool is_bad = false;
        std::size_t sends = 0;
        bool is_late = false;
        bool is_counted = false;
    };
    struct attempt {
        std::size_t gateway = 0;
        request_handle request = 0;
        std::optional<time_point> answered_at; /**< When a begun answer is complete. */
    };
    struct server {
        std::vector<attempt> attempts; /**< In the order of their arrival. */
        std::optional<time_point> next_begin;
    };
    struct message {
        time_point arrives_at;
        std::size_t sender = 0;
        std::vector<crash_record> crashes;
        crashing_parts_report parts;
    };

    bool is_after(int spans) const {
        return fifth_crash_ && now_ > *fifth_crash_ + script_.stable_time * spans;
    }

    void start_server() {
        const auto id = "engine-" + std::to_string(++started_);
        auto registered = server_of(id, "llm");
        registered.address.ip = "10.0.0.1";
        registered.started_at_ms = 1'000 + static_cast<std::uint64_t>(started_);
        for (auto& each : gateways_) {
            each->backends().put(registered);
        }
        servers_[id];
    }

    void arrive() {
        if (random_.unit() >= script_.requests_per_s / 1'000) {
            return;
        }
        const auto since = now_ - at_ms(0);
        const bool may_hold_part =
            (since >= script_.bad_from || script_.is_sound_before) && since < script_.bad_until;
        const bool is_bad = may_hold_part && random_.unit() < script_.bad_share;
        auto metadata = profile_of("/plan/x");
        metadata.model = "m";
        metadata.prompt_tokens = 900;
        metadata.max_output_tokens = 50;
        metadata.has_token_counts = true;
        metadata.prompt_parts = {{common_part, 500},
                                 {first_document_part + random_.below(script_.documents), 200}};
        if (is_bad) {
            metadata.prompt_parts.push_back({bad_part, 100});
        }
        metadata.prompt_parts.push_back({first_session_part + ++arrived_, 100});
        const auto gateway = static_cast<std::size_t>(random_.below(gateways_.size()));
        const auto id = gateways_[gateway]->on_request(std::move(metadata), arrived_, now_);
        requests_[{gateway, id}] = {is_bad, 0, is_after(2), false};
        result_.late_sound += !is_bad && is_after(2) ? 1 : 0;
        execute(gateway);
    }

    void execute(std::size_t gateway) {
        for (auto effects = gateways_[gateway]->take_effects(); !effects.empty();
             effects = gateways_[gateway]->take_effects()) {
            for (const auto& each : effects) {
                if (const auto* sent = std::get_if<send_attempt>(&each)) {
                    on_sent(gateway, *sent);
                } else if (const auto* ended = std::get_if<end_request>(&each)) {
                    on_ended(gateway, *ended);
                }
            }
        }
    }

    void on_sent(std::size_t gateway, const send_attempt& sent) {
        auto& request = requests_.at({gateway, sent.request});
        ++request.sends;
        result_.late_bad_sends += request.is_bad && is_after(1) ? 1 : 0;
        const auto found = servers_.find(sent.backend_id);
        if (found == servers_.end()) {
            gateways_[gateway]->on_attempt_ended(sent.request, attempt_outcome::unreachable, now_);
            return;
        }
        found->second.attempts.push_back({gateway, sent.request, std::nullopt});
        if (!found->second.next_begin) {
            found->second.next_begin = now_ + script_.prefill_time;
        }
    }

    void on_ended(std::size_t gateway, const end_request& ended) {
        const auto found = requests_.find({gateway, ended.request});
        const bool is_untrue = has_not_run(ended.reason) && found->second.sends > 0 &&
                               ended.reason == end_reason::quarantined;
        result_.untrue_refusals += is_untrue ? 1 : 0;
        result_.sound_quarantined +=
            !found->second.is_bad && ended.reason == end_reason::quarantined ? 1 : 0;
        for (auto& each : servers_) {
            std::erase_if(each.second.attempts, [&](const attempt& open) {
                return open.gateway == gateway && open.request == ended.request;
            });
        }
        gateways_[gateway]->release(ended.request, now_);
        requests_.erase(found);
    }

    void run_servers() {
        std::vector<std::string> crashed;
        for (auto& [id, each] : servers_) {
            complete_answers(each);
            if (each.next_begin && now_ >= *each.next_begin && begin_next(each)) {
                crashed.push_back(id);
            }
        }
        for (const auto& id : crashed) {
            crash(id);
        }
        while (!restarts_.empty() && restarts_.front() <= now_) {
            restarts_.pop_front();
            start_server();
        }
    }

    void complete_answers(server& from) {
        std::vector<attempt> complete;
        std::erase_if(from.attempts, [&](const attempt& each) {
            const bool is_complete = each.answered_at && now_ >= *each.answered_at;
            if (is_complete) {
                complete.push_back(each);
            }
            return is_complete;
        });
        for (const auto& each : complete) {
            auto& gateway = *gateways_[each.gateway];
            gateway.on_attempt_ended(each.request, attempt_outcome::completed, now_);
            gateway.release(each.request, now_);
            requests_.erase({each.gateway, each.request});
            execute(each.gateway);
        }
    }

    /** Begins the answer of the oldest unbegun request; returns whether that crashes the server. */
    bool begin_next(server& at) {
        const auto next = std::find_if(at.attempts.begin(), at.attempts.end(),
                                       [](const attempt& each) { return !each.answered_at; });
        at.next_begin.reset();
        if (next == at.attempts.end()) {
            return false;
        }
        auto& request = requests_.at({next->gateway, next->request});
        if (request.is_bad && now_ >= at_ms(0) + script_.bad_from) {
            return true;
        }
        if (request.is_late && !request.is_bad && request.sends == 1 && !request.is_counted) {
            request.is_counted = true;
            ++result_.late_sound_begun;
        }
        next->answered_at = now_ + script_.answer_time;
        gateways_[next->gateway]->on_first_byte(next->request, now_);
        at.next_begin = now_ + script_.prefill_time;
        return false;
    }

    void crash(const std::string& id) {
        const auto attempts = std::exchange(servers_.at(id).attempts, {});
        servers_.erase(id);
        restarts_.push_back(now_ + script_.restart_time);
        if (++result_.crashes == fifth) {
            fifth_crash_ = now_;
        }
        for (const auto& each : attempts) {
            gateways_[each.gateway]->on_attempt_ended(each.request,
                                                      attempt_outcome::invalid_response, now_);
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            gateways_[i]->backends().remove(id);
            execute(i);
        }
    }

    void exchange() {
        const auto at = now_.time_since_epoch().count();
        const bool is_regular = at % script_.report_interval.count() == 0;
        const bool is_complete = at % script_.complete_interval.count() == 0;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (is_regular || gateways_[i]->parts().has_news()) {
                messages_.push_back({now_ + script_.report_delay, i,
                                     gateways_[i]->crashes().newest(64),
                                     gateways_[i]->parts().next_report(is_complete, now_)});
            }
        }
        while (!messages_.empty() && messages_.front().arrives_at <= now_) {
            const auto arrived = std::move(messages_.front());
            messages_.pop_front();
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                if (i != arrived.sender) {
                    deliver(arrived, i);
                }
            }
        }
    }

    void deliver(const message& arrived, std::size_t gateway) {
        for (const auto& each : arrived.crashes) {
            gateways_[gateway]->crashes().add(each, now_);
        }
        gateways_[gateway]->on_parts_report("gateway-" + std::to_string(arrived.sender),
                                            arrived.parts, now_);
        execute(gateway);
    }

    static constexpr std::size_t fifth = 5;

    crashing_fleet_script script_;
    random_source random_;
    time_point now_;
    std::vector<std::unique_ptr<dispatcher>> gateways_;
    std::map<std::string, server> servers_;
    std::deque<time_point> restarts_;
    std::deque<message> messages_;
    std::map<std::pair<std::size_t, request_handle>, caller_request> requests_;
    std::optional<time_point> fifth_crash_;
    std::size_t started_ = 0;
    std::uint64_t arrived_ = 0;
    crashing_fleet_result result_;
};

} // namespace camphorgrade::testing
