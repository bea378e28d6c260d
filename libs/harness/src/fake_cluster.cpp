#include <harness/fake_cluster.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::harness {

namespace {

constexpr duration watch_wait{30'000};
constexpr duration lease_check_period{100};

} // namespace

fake_cluster::fake_cluster(std::uint64_t seed) : random_(seed) {
    // An epoch of zero hides mistakes with unset times.
    clock_.advance_to(time_point{duration{1'000'000}});
}

void fake_cluster::add(const node_id& node, setup build) {
    CAMPHOR_PRECONDITION(!nodes_.contains(node));
    nodes_[node].build = std::move(build);
    start_life(node, nodes_[node]);
}

void fake_cluster::kill(const node_id& node) {
    CAMPHOR_PRECONDITION(alive(node));
    auto& killed = nodes_.at(node);
    killed.kernel.reset();
    killed.paused = false;
    killed.backlog.clear();
}

void fake_cluster::restart(const node_id& node) {
    CAMPHOR_PRECONDITION(!alive(node));
    start_life(node, nodes_.at(node));
}

void fake_cluster::pause(const node_id& node) {
    CAMPHOR_PRECONDITION(alive(node));
    nodes_.at(node).paused = true;
}

void fake_cluster::resume(const node_id& node) {
    CAMPHOR_PRECONDITION(paused(node));
    auto& resumed = nodes_.at(node);
    resumed.paused = false;
    const auto waiting = std::exchange(resumed.backlog, {});
    for (const auto& each : waiting) {
        deliver(node, resumed.lives, each);
    }
}

void fake_cluster::cut(const node_id& left, const node_id& right) {
    cuts_.emplace(left, right);
    cuts_.emplace(right, left);
}

void fake_cluster::cut_from_store(const node_id& node) {
    store_cuts_.insert(node);
}

void fake_cluster::heal() {
    cuts_.clear();
    store_cuts_.clear();
}

bool fake_cluster::alive(const node_id& node) const {
    const auto found = nodes_.find(node);
    return found != nodes_.end() && found->second.kernel != nullptr;
}

bool fake_cluster::paused(const node_id& node) const {
    return alive(node) && nodes_.at(node).paused;
}

std::vector<node_id> fake_cluster::nodes() const {
    std::vector<node_id> names;
    for (const auto& [name, unused] : nodes_) {
        names.push_back(name);
    }
    return names;
}

micro_kernel& fake_cluster::kernel(const node_id& node) {
    CAMPHOR_PRECONDITION(alive(node));
    return *nodes_.at(node).kernel;
}

void fake_cluster::post(const node_id& node, const event& happened) {
    if (alive(node)) {
        deliver(node, nodes_.at(node).lives, happened);
    }
}

void fake_cluster::post_later(const node_id& node, event happened, duration delay) {
    if (!alive(node)) {
        return;
    }
    const auto life = nodes_.at(node).lives;
    schedule(now() + delay,
             [this, node, life, happened = std::move(happened)] { deliver(node, life, happened); });
}

void fake_cluster::act(const node_id& node,
                       const std::function<void(micro_kernel&, step&)>& action) {
    CAMPHOR_PRECONDITION(alive(node) && !paused(node));
    auto& acting = nodes_.at(node);
    std::vector<effect> effects;
    step current(now(), random_, acting.kernel->self(), acting.kernel->life(), effects);
    action(*acting.kernel, current);
    carry_out(node, acting.lives, effects);
}

void fake_cluster::run_for(duration span) {
    const time_point end = now() + span;
    while (true) {
        const time_point next_check = now() + lease_check_period;
        const time_point stop = std::min(end, next_check);
        while (!due_.empty() && due_.top().at <= stop) {
            const scheduled next = due_.top();
            due_.pop();
            clock_.advance_to(std::max(next.at, now()));
            next.act();
        }
        clock_.advance_to(stop);
        store_.expire(now());
        serve_watches();
        if (stop == end) {
            return;
        }
    }
}

void fake_cluster::schedule(time_point at, std::function<void()> act) {
    due_.push({at, ++sequence_, std::move(act)});
}

void fake_cluster::start_life(const node_id& name, node_state& started) {
    ++started.lives;
    started.kernel =
        std::make_unique<micro_kernel>(name, incarnation{started.lives}, random_.next());
    started.build(*started.kernel);
    carry_out(name, started.lives, started.kernel->start(now()));
}

void fake_cluster::deliver(const node_id& name, std::uint64_t life, const event& happened) {
    auto& receiver = nodes_.at(name);
    if (receiver.kernel == nullptr || receiver.lives != life) {
        return;
    }
    if (receiver.paused) {
        receiver.backlog.push_back(happened);
        return;
    }
    carry_out(name, life, receiver.kernel->handle(happened, now()));
}

void fake_cluster::carry_out(const node_id& name, std::uint64_t life,
                             const std::vector<effect>& effects) {
    for (const auto& one : effects) {
        if (observer_) {
            observer_(name, one);
        }
        carry_out_one(name, life, one);
    }
}

void fake_cluster::carry_out_one(const node_id& name, std::uint64_t life, const effect& one) {
    if (const auto* sent = std::get_if<send_message>(&one)) {
        transmit(sent->content);
    } else if (const auto* timer = std::get_if<set_timer>(&one)) {
        const timer_fired fired{timer->service, timer->id};
        schedule(std::max(timer->at, now()),
                 [this, name, life, fired] { deliver(name, life, fired); });
    } else if (const auto* store_call = std::get_if<call_kv>(&one)) {
        call_store(name, life, *store_call);
    } else if (const auto* call = std::get_if<call_backend>(&one)) {
        if (backend_ != nullptr) {
            backend_->on_call(name, *call);
        } else {
            post_later(name,
                       call_progressed{call->service, call->call,
                                       call_failure{call_failure_kind::not_sent}},
                       duration{1});
        }
    } else if (const auto* cancelled = std::get_if<cancel_call>(&one)) {
        if (backend_ != nullptr) {
            backend_->on_cancel(name, cancelled->call);
        }
    } else if (std::holds_alternative<begin_shutdown>(one)) {
        post_later(name, shutdown_requested{}, duration{0});
    } else if (std::holds_alternative<exit_process>(one)) {
        // After the events that are under way in this step.
        schedule(now(), [this, name, life] {
            if (alive(name) && nodes_.at(name).lives == life) {
                kill(name);
            }
        });
    }
}

void fake_cluster::transmit(const message& content) {
    ++messages_sent_;
    bytes_sent_ += content.payload.size();
    if (is_cut(content.from, content.to) || random_.unit() < network_.loss) {
        return;
    }
    transmit_once(content);
    if (random_.unit() < network_.duplication) {
        transmit_once(content);
    }
}

void fake_cluster::transmit_once(const message& content) {
    const auto spread = (network_.longest_delay - network_.shortest_delay).count();
    const auto extra = spread > 0 ? random_.below(static_cast<std::uint64_t>(spread) + 1) : 0;
    const time_point arrival =
        now() + network_.shortest_delay + duration{static_cast<duration::rep>(extra)};
    schedule(arrival, [this, content] {
        // A message meets whoever lives at the address when it arrives.
        if (!is_cut(content.from, content.to)) {
            post(content.to, message_received{content});
        }
    });
}

void fake_cluster::call_store(const node_id& name, std::uint64_t life, const call_kv& call) {
    ++store_calls_;
    const bool unreachable = store_cuts_.contains(name);
    if (unreachable || store_faults_.mode == store_mode::silent) {
        reply_later(name, life, call, kv_failure{kv_failure_kind::ambiguous},
                    store_faults_.timeout);
        return;
    }
    if (store_faults_.mode == store_mode::refusing) {
        reply_later(name, life, call, kv_failure{kv_failure_kind::not_applied}, duration{1});
        return;
    }
    schedule(now() + store_faults_.delay / 2,
             [this, name, life, call] { apply_call(name, life, call); });
}

void fake_cluster::apply_call(const node_id& name, std::uint64_t life, const call_kv& call) {
    if (store_faults_.mode != store_mode::up) {
        reply_later(name, life, call, kv_failure{kv_failure_kind::ambiguous},
                    store_faults_.timeout);
        return;
    }
    if (const auto* watch = std::get_if<kv_watch>(&call.request)) {
        waiting_watch waiting{name, life, call, now() + watch_wait};
        if (watch->start_revision == 0) {
            std::get<kv_watch>(waiting.call.request).start_revision = store_.revision() + 1;
        }
        watches_.push_back(waiting);
        serve_watches();
        return;
    }
    kv_reply reply = store_.apply(call.request, now());
    if (random_.unit() < store_faults_.answer_loss) {
        reply_later(name, life, call, kv_failure{kv_failure_kind::ambiguous},
                    store_faults_.timeout);
    } else {
        reply_later(name, life, call, std::move(reply), store_faults_.delay / 2);
    }
    serve_watches();
}

void fake_cluster::reply_later(const node_id& name, std::uint64_t life, const call_kv& call,
                               kv_reply reply, duration delay) {
    const kv_replied replied{call.service, call.id, std::move(reply)};
    schedule(now() + delay, [this, name, life, replied] { deliver(name, life, replied); });
}

void fake_cluster::serve_watches() {
    std::vector<waiting_watch> still_waiting;
    for (auto& each : watches_) {
        const bool reachable =
            store_faults_.mode == store_mode::up && !store_cuts_.contains(each.node);
        const auto& watch = std::get<kv_watch>(each.call.request);
        if (!reachable) {
            reply_later(each.node, each.life, each.call, kv_failure{kv_failure_kind::ambiguous},
                        duration{1});
            continue;
        }
        auto changes = store_.changes_since(watch.key, watch.range_end, watch.start_revision);
        const bool due = !changes.events.empty() || changes.compacted || now() >= each.until;
        if (due) {
            reply_later(each.node, each.life, each.call, std::move(changes),
                        store_faults_.delay / 2);
        } else {
            still_waiting.push_back(each);
        }
    }
    watches_ = std::move(still_waiting);
}

bool fake_cluster::is_cut(const node_id& left, const node_id& right) const {
    return cuts_.contains({left, right});
}

} // namespace camphorgrade::harness
