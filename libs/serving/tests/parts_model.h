#pragma once

#include <kernel/random.h>
#include <serving/crashing_parts.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/**
 * @file
 * A model of the decision of crashing_parts alone: gateways that share evidence with a delay, and
 * servers with batches of requests that crash when they begin one with the bad part. There is no
 * placement, no limit of any kind and no retry but one at another server.
 */
namespace camphorgrade::testing {

using namespace camphorgrade::serving;

/** A trouble of the model besides the bad part. */
enum class model_trouble : std::uint8_t {
    none,
    mass_crash,        /**< Some of the servers crash at one moment. */
    connection_resets, /**< Each connection of a server may be reset; the process lives on. */
    cut_gateway        /**< All connections of one gateway break for a while. */
};

/** What a parts_model plays. Durations are in milliseconds. */
struct parts_model_script {
    std::size_t gateways = 8;
    std::size_t servers = 12;
    std::size_t batch = 8;         /**< Requests that a server takes at once. */
    std::uint64_t documents = 100; /**< Parts of second place; a few of them are frequent. */
    double requests_per_s = 60;
    double bad_share = 0.12;      /**< 0: no part is bad. */
    bool is_sound_before = false; /**< The bad part had good starts before it turned bad. */
    model_trouble trouble = model_trouble::none;
    double troubled_share = 0.5;
    duration trouble_at{8'000};
    duration bad_from{8'000};
    duration end{20'000};
    duration max_begin_delay{400}; /**< A request begins up to this long after it was sent. */
    duration answer_time{500};
    duration restart_time{4'000};
    duration report_interval{100};
    duration complete_interval{900};
    duration report_delay{100};
    duration stable_time{3'000};
    std::uint64_t seed = 1;
};

struct parts_model_result {
    std::size_t crashes = 0;
    std::size_t late_bad_sends = 0;   /**< Later than stable_time after the fifth crash. */
    std::size_t late_sound = 0;       /**< Sound requests later than twice that. */
    std::size_t late_sound_begun = 0; /**< Of these, those whose first attempt begins. */
    std::size_t sound = 0;
    std::size_t sound_held = 0;        /**< Sound requests that were refused as held. */
    std::size_t sound_held_at_end = 0; /**< Of these, those in the last three seconds. */
};

class parts_model {
public:
    explicit parts_model(parts_model_script script) : script_(script), random_(script.seed) {
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            gateways_.push_back(std::make_unique<crashing_parts>(crashing_parts_settings{}));
            gateways_.back()->set_rank(i, script_.gateways);
            names_.push_back("gateway-" + std::to_string(i));
        }
        servers_.resize(script_.servers);
        for (auto& each : servers_) {
            restart(each);
        }
    }

    parts_model_result play() {
        const auto stop = time_point{} + script_.end;
        for (now_ = time_point{}; now_ < stop; now_ += step) {
            arrive();
            make_trouble();
            run_servers();
            exchange();
        }
        return result_;
    }

private:
    static constexpr duration step{10};
    static constexpr std::uint64_t common_part = 1;
    static constexpr std::uint64_t bad_part = 2;
    static constexpr std::uint64_t first_document = 10;
    static constexpr std::size_t fifth = 5;
    static constexpr duration last_span{3'000};
    static constexpr duration cut_time{2'000};

    struct request {
        std::size_t gateway = 0;
        bool is_bad = false;
        bool is_first_attempt = true;
        bool is_late = false;
        std::vector<prompt_part> prompt;
        time_point begins_at;
        std::optional<time_point> ends_at;
    };
    struct server {
        server_process process;
        time_point up_from;
        std::vector<request> requests;
    };
    struct message {
        time_point arrives_at;
        std::size_t sender = 0;
        crashing_parts_report report;
    };

    bool is_after(int spans) const {
        return fifth_crash_ && now_ > *fifth_crash_ + script_.stable_time * spans;
    }

    void restart(server& each) {
        each.process = {"server-" + std::to_string(++started_), started_};
    }

    void arrive() {
        const double expected = script_.requests_per_s * static_cast<double>(step.count()) / 1'000;
        auto count = static_cast<std::size_t>(expected);
        count += random_.unit() < expected - static_cast<double>(count) ? 1 : 0;
        for (std::size_t i = 0; i < count; ++i) {
            arrive_one();
        }
    }

    void arrive_one() {
        request added;
        added.gateway = static_cast<std::size_t>(random_.below(script_.gateways));
        const bool is_time = now_ >= time_point{} + script_.bad_from || script_.is_sound_before;
        added.is_bad = is_time && random_.unit() < script_.bad_share;
        // The cube makes the first documents frequent and the last ones rare.
        const double place = random_.unit();
        const auto document =
            first_document + static_cast<std::uint64_t>(place * place * place *
                                                        static_cast<double>(script_.documents));
        added.prompt = {{common_part, 1}, {document, 1}};
        if (added.is_bad) {
            added.prompt.push_back({bad_part, 1});
        }
        added.prompt.push_back({1'000'000 + ++arrived_, 1});
        added.is_late = is_after(2);
        result_.sound += added.is_bad ? 0 : 1;
        result_.late_sound += !added.is_bad && added.is_late ? 1 : 0;
        send(std::move(added));
    }

    void send(request sent) {
        auto& gateway = *gateways_[sent.gateway];
        if (gateway.retry_after(sent.prompt, now_) && !gateway.try_trial(sent.prompt, now_)) {
            const bool is_at_end = now_ >= time_point{} + script_.end - last_span;
            result_.sound_held += sent.is_bad ? 0 : 1;
            result_.sound_held_at_end += !sent.is_bad && is_at_end ? 1 : 0;
            return;
        }
        std::vector<server*> free;
        for (auto& each : servers_) {
            if (now_ >= each.up_from && each.requests.size() < script_.batch) {
                free.push_back(&each);
            }
        }
        if (free.empty()) {
            result_.late_sound -= !sent.is_bad && sent.is_late && sent.is_first_attempt ? 1 : 0;
            return; // for want of servers, which isn't this decision's matter
        }
        result_.late_bad_sends += sent.is_bad && is_after(1) ? 1 : 0;
        sent.begins_at =
            now_ + duration{1 + static_cast<duration::rep>(random_.below(
                                    static_cast<std::uint64_t>(script_.max_begin_delay.count())))};
        free[static_cast<std::size_t>(random_.below(free.size()))]->requests.push_back(
            std::move(sent));
    }

    void run_servers() {
        for (auto& each : servers_) {
            std::erase_if(each.requests, [&](const request& open) {
                return open.ends_at && now_ >= *open.ends_at;
            });
            bool is_crashed = false;
            for (auto& open : each.requests) {
                if (open.ends_at || now_ < open.begins_at) {
                    continue;
                }
                if (open.is_bad && now_ >= time_point{} + script_.bad_from) {
                    is_crashed = true;
                    break;
                }
                open.ends_at = now_ + script_.answer_time;
                result_.late_sound_begun +=
                    !open.is_bad && open.is_late && open.is_first_attempt ? 1 : 0;
                gateways_[open.gateway]->on_start(open.prompt, each.process, now_);
            }
            if (is_crashed) {
                fifth_crash_ = ++result_.crashes == fifth ? now_ : fifth_crash_;
                crash(each);
            }
        }
    }

    void crash(server& crashed) {
        const auto open = std::exchange(crashed.requests, {});
        const auto process = crashed.process;
        crashed.up_from = now_ + script_.restart_time;
        restart(crashed);
        break_all(open, process);
    }

    void break_all(const std::vector<request>& open, const server_process& process) {
        for (const auto& each : open) {
            if (!each.ends_at) {
                gateways_[each.gateway]->on_crash(each.prompt, process, now_);
                gateways_[each.gateway]->update(now_);
            }
        }
        for (auto each : open) {
            if (!each.ends_at && each.is_first_attempt) {
                each.is_first_attempt = false;
                send(std::move(each));
            }
        }
    }

    void make_trouble() {
        const auto since = now_ - time_point{} - script_.trouble_at;
        if (script_.trouble == model_trouble::mass_crash && since == duration::zero()) {
            for (auto& each : servers_) {
                if (random_.unit() < script_.troubled_share) {
                    crash(each);
                }
            }
        }
        if (since < duration::zero() || since >= cut_time) {
            return;
        }
        if (script_.trouble == model_trouble::connection_resets) {
            reset_some();
        } else if (script_.trouble == model_trouble::cut_gateway) {
            for (auto& each : servers_) {
                reset(each, [](const request& open) { return open.gateway == 0; });
            }
        }
    }

    /** Resets a share of each server's connections once a second on average. */
    void reset_some() {
        constexpr std::uint64_t steps_between_resets = 100;
        for (auto& each : servers_) {
            if (random_.below(steps_between_resets) == 0) {
                reset(each,
                      [&](const request&) { return random_.unit() < script_.troubled_share; });
            }
        }
    }

    template <typename Predicate>
    void reset(server& at, Predicate is_hit) {
        std::vector<request> hit;
        std::erase_if(at.requests, [&](const request& open) {
            const bool is = is_hit(open);
            if (is) {
                hit.push_back(open);
            }
            return is;
        });
        break_all(hit, at.process);
    }

    void exchange() {
        const auto at = now_.time_since_epoch().count();
        const bool is_regular = at % script_.report_interval.count() == 0;
        const bool is_complete = at % script_.complete_interval.count() == 0;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (!is_regular && !gateways_[i]->has_news()) {
                continue;
            }
            auto report = gateways_[i]->next_report(is_complete, now_);
            if (!report.is_empty()) {
                messages_.push_back({now_ + script_.report_delay, i, std::move(report)});
            }
        }
        while (!messages_.empty() && messages_.front().arrives_at <= now_) {
            const auto& arrived = messages_.front();
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                if (i != arrived.sender) {
                    gateways_[i]->on_report(names_[arrived.sender], arrived.report, now_);
                }
            }
            messages_.pop_front();
        }
        for (auto& each : gateways_) {
            each->update(now_);
        }
    }

    parts_model_script script_;
    random_source random_;
    time_point now_;
    std::vector<std::unique_ptr<crashing_parts>> gateways_;
    std::vector<std::string> names_;
    std::vector<server> servers_;
    std::deque<message> messages_;
    std::optional<time_point> fifth_crash_;
    std::uint64_t started_ = 0;
    std::uint64_t arrived_ = 0;
    parts_model_result result_;
};

} // namespace camphorgrade::testing
