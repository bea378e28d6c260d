#include "placement_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::experiment {

namespace {

constexpr std::size_t gateways = 3;
constexpr duration step_base{20};
constexpr double step_ms_per_request = 1;
constexpr double prefill_ms_per_token = 0.05;
constexpr double load_ms = 250;
constexpr duration unload_time{5};
constexpr duration report_period{1000};
constexpr duration report_interval{200};
constexpr duration plan_interval{100};
constexpr duration drain{90000};
constexpr std::size_t most_attempts = 2;
constexpr double ms_per_s = 1000;

double engine_tokens_per_s(const deployment& sizes) {
    const double seats = static_cast<double>(sizes.seats);
    return seats * ms_per_s /
           (static_cast<double>(step_base.count()) + seats * step_ms_per_request);
}

std::vector<node_id> agent_names(std::size_t count) {
    std::vector<node_id> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(node_id{"10.0.0." + std::to_string(10 + i) + ":7000"});
    }
    return names;
}

} // namespace

time_point store_model::begin(time_point now) {
    ++in_flight_;
    next_start_ = std::max(next_start_, now);
    const time_point start = next_start_;
    next_start_ += duration{static_cast<std::int64_t>(ms_per_s / limit_.loads_per_s)};
    const double crowd = static_cast<double>(in_flight_) / static_cast<double>(limit_.parallel);
    return start + duration{static_cast<std::int64_t>(load_ms * std::max(1.0, crowd))};
}

placement_model::placement_model(const deployment& sizes, const scenario& happens,
                                 const std::string& policy, std::uint64_t seed)
    : sizes_(sizes), happens_(happens), random_(seed * 7919), requests_(sizes, happens, seed),
      policy_(make_policy(policy, gateways, agent_names(sizes.engines))), store_(sizes.store),
      ledger_(sizes.store, time_point{}), measures_(sizes.account_shares.size()),
      end_(time_point{} + happens.warm_up + happens.measured) {
    placement::scheduler_settings settings = policy_->scheduling(sizes_);
    settings.queue.engine_tokens_per_s = engine_tokens_per_s(sizes_);
    for (const node_id& name : agent_names(sizes_.engines)) {
        engine& added = engines_.emplace_back();
        added.name = name;
        added.plan = std::make_unique<placement::scheduler>(settings, placement::fencing_number{1},
                                                            now_ - duration{1});
        added.plan->table().on_listing({placement::boot_id{1}, {}, now_}, now_);
    }
}

std::map<std::string, double> placement_model::run() {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        report(i);
    }
    arrive();
    if (happens_.engine_restart) {
        later(happens_.warm_up, [this] { restart(0); });
    }
    while (!events_.empty() && events_.top().at < end_ + drain) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.act();
    }
    for (engine& each : engines_) {
        for (const auto& [id, request] : each.waiting) {
            if (measured(request)) {
                measures_.started(now_ - request.request.arrival);
            }
        }
        each.running.clear();
    }
    return measures_.summary(happens_.measured);
}

void placement_model::later(duration after, std::function<void()> act) {
    events_.push({now_ + after, ++sequence_, std::move(act)});
}

bool placement_model::measured(const workload_request& request) const {
    return request.request.arrival >= time_point{} + happens_.warm_up;
}

void placement_model::arrive() {
    const workload_request next = requests_.next();
    if (next.request.arrival >= end_) {
        return;
    }
    later(next.request.arrival - now_, [this, next] {
        if (measured(next)) {
            measures_.arrived(next.account, next.answer_tokens);
        }
        route(next, {});
        arrive();
    });
}

void placement_model::route(const workload_request& request, const std::vector<node_id>& tried) {
    const placement::route to = policy_->choose(request, tried, now_, random_);
    if (const auto* agent = std::get_if<node_id>(&to)) {
        const std::size_t index = index_of(*agent);
        later(sizes_.hop, [this, index, request, tried] { admit(index, request, tried); });
        return;
    }
    if (measured(request)) {
        measures_.refused();
    }
}

void placement_model::admit(std::size_t to, workload_request request, std::vector<node_id> tried) {
    engine& target = engines_[to];
    tried.push_back(target.name);
    if (target.plan->admit(request.request, now_)) {
        refused(request, tried);
        return;
    }
    target.waiting.emplace(request.request.id, std::move(request));
    plan(to);
}

void placement_model::refused(const workload_request& request, const std::vector<node_id>& tried) {
    if (tried.size() < most_attempts) {
        later(sizes_.hop, [this, request, tried] { route(request, tried); });
        return;
    }
    if (measured(request)) {
        measures_.refused();
    }
}

void placement_model::plan(std::size_t at) {
    engine& here = engines_[at];
    placement::schedule decided =
        here.plan->next(now_, sizes_.seats - std::min(sizes_.seats, here.running.size()));
    for (const placement::refused_request& each : decided.refusals) {
        const auto found = here.waiting.extract(each.request.id);
        refused(found.mapped(), std::vector<node_id>(most_attempts));
    }
    for (const placement::slot_order& each : decided.orders) {
        order(at, each);
    }
    for (placement::request_start& each : decided.starts) {
        begin(at, std::move(each));
    }
    if (policy_->paced()) {
        ask_director(at, decided.wants);
    }
    if (!here.plan->queue().empty()) {
        plan_soon(at, plan_interval);
    }
    report_soon(at);
}

void placement_model::plan_soon(std::size_t at, duration after) {
    if (engines_[at].planned) {
        return;
    }
    engines_[at].planned = true;
    later(after, [this, at] {
        engines_[at].planned = false;
        plan(at);
    });
}

void placement_model::order(std::size_t at, const placement::slot_order& each) {
    if (each.kind == placement::order_kind::unload) {
        later(unload_time, [this, at, each] { result(at, each, true); });
        return;
    }
    if (now_ >= time_point{} + happens_.warm_up && now_ < end_) {
        measures_.loaded();
    }
    const bool fails = happens_.load_failures > 0 && (random_.unit() < happens_.load_failures ||
                                                      workload::always_fails(each.adapter));
    later(store_.begin(now_) - now_, [this, at, each, fails] {
        store_.end();
        result(at, each, !fails);
    });
}

void placement_model::result(std::size_t at, const placement::slot_order& each, bool done) {
    const auto outcome = done ? placement::order_outcome::done : placement::order_outcome::failed;
    engines_[at].plan->on_result({each.id, each.boot, each.fencing, outcome}, now_);
    const auto grant = grants_.find(to_string(each.adapter) + engines_[at].name.value());
    if (each.kind == placement::order_kind::load && grant != grants_.end()) {
        const std::uint64_t ended = grant->second;
        grants_.erase(grant);
        later(sizes_.hop, [this, at, ended] {
            ledger_.finished(engines_[at].name, ended, now_);
            direct();
        });
    }
    plan(at);
}

void placement_model::begin(std::size_t at, placement::request_start started) {
    engine& here = engines_[at];
    workload_request request = std::move(here.waiting.extract(started.request.id).mapped());
    const bool counts = measured(request);
    if (counts) {
        duration stall{};
        for (const placement::slot_view& each : here.plan->table().slots()) {
            if (each.adapter == request.request.adapter) {
                stall = std::max(stall, each.since - request.request.arrival - sizes_.hop);
            }
        }
        measures_.started(stall);
    }
    here.running.push_back({std::move(request), std::move(started.hold), 0, counts});
    if (!here.stepping) {
        here.stepping = true;
        step(at);
    }
}

void placement_model::step(std::size_t at) {
    engine& here = engines_[at];
    if (here.running.empty()) {
        here.stepping = false;
        return;
    }
    double length = static_cast<double>(step_base.count());
    for (const running_request& each : here.running) {
        const bool prefill = each.generated == 0;
        const double prompt = static_cast<double>(each.request.request.prompt_tokens);
        length += step_ms_per_request + (prefill ? prompt * prefill_ms_per_token : 0);
    }
    const std::uint64_t boot = here.boot;
    std::vector<std::uint64_t> batch;
    for (const running_request& each : here.running) {
        batch.push_back(each.request.request.id);
    }
    const duration takes{static_cast<std::int64_t>(std::lround(length))};
    later(takes, [this, at, boot, batch] {
        engine& then = engines_[at];
        if (then.boot != boot) {
            return;
        }
        if (now_ >= time_point{} + happens_.warm_up && now_ < end_) {
            measures_.engine_step(batch.size(), sizes_.seats);
        }
        bool ended = false;
        for (running_request& each : then.running) {
            if (std::ranges::find(batch, each.request.request.id) == batch.end()) {
                continue;
            }
            if (++each.generated == 1 && each.measured) {
                measures_.first_token(now_ - each.request.request.arrival);
            }
            if (each.measured) {
                measures_.generated(each.request.account);
            }
            ended |= each.generated >= each.request.answer_tokens;
        }
        std::erase_if(then.running, [&](const running_request& each) {
            const bool done = each.generated >= each.request.answer_tokens;
            if (done) {
                then.plan->finished(each.request.request, each.generated);
            }
            return done;
        });
        if (ended) {
            plan(at);
        }
        step(at);
    });
}

void placement_model::restart(std::size_t at) {
    engine& here = engines_[at];
    ++here.boot;
    here.stepping = false;
    std::vector<running_request> cut = std::exchange(here.running, {});
    for (const running_request& each : cut) {
        route(each.request, {});
    }
    cut.clear();
    const placement::boot_id boot{here.boot};
    here.plan->table().on_boot(boot, now_);
    here.plan->table().on_listing({boot, {}, now_}, now_);
    plan(at);
}

void placement_model::ask_director(std::size_t at, const std::vector<placement::load_want>& wants) {
    later(sizes_.hop, [this, at, wants] {
        ledger_.ask(engines_[at].name, wants, now_);
        direct();
    });
}

void placement_model::direct() {
    for (const placement::granted_load& each : ledger_.grants(now_)) {
        const std::size_t to = index_of(each.agent);
        later(sizes_.hop, [this, to, each] {
            engine& here = engines_[to];
            if (here.plan->permit(each.adapter, now_ + duration{1000}, now_)) {
                grants_[to_string(each.adapter) + here.name.value()] = each.grant;
                plan(to);
                return;
            }
            later(sizes_.hop,
                  [this, to, each] { ledger_.finished(engines_[to].name, each.grant, now_); });
        });
    }
    const auto due = ledger_.next_due(now_);
    if (due && (director_armed_ <= now_ || *due < director_armed_)) {
        director_armed_ = *due;
        later(*due - now_, [this] { direct(); });
    }
}

void placement_model::report(std::size_t at) {
    engine& here = engines_[at];
    here.reported = now_;
    placement::agent_status status = here.plan->status(now_);
    status.pool = "base";
    status.data_centre = "dc-" + std::to_string(at % sizes_.data_centres);
    status.running = static_cast<std::uint32_t>(here.running.size());
    status.free_seats =
        static_cast<std::uint32_t>(sizes_.seats - std::min(sizes_.seats, here.running.size()));
    later(sizes_.hop, [this, at, status] {
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            policy_->on_report(gateway, engines_[at].name, status, now_);
        }
    });
    later(report_period, [this, at] {
        if (now_ - engines_[at].reported >= report_period) {
            report(at);
        }
    });
}

void placement_model::report_soon(std::size_t at) {
    engine& here = engines_[at];
    if (here.reporting) {
        return;
    }
    here.reporting = true;
    later(std::max(duration{0}, here.reported + report_interval - now_), [this, at] {
        engines_[at].reporting = false;
        report(at);
    });
}

std::size_t placement_model::index_of(const node_id& name) const {
    const auto found =
        std::ranges::find_if(engines_, [&](const engine& each) { return each.name == name; });
    return static_cast<std::size_t>(found - engines_.begin());
}

} // namespace camphorgrade::experiment
