#include <agent/backend_service.h>

#include <agent/plain_queue.h>

#include <kernel/micro_kernel.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>
#include <telemetry/trace.h>

#include <limits>
#include <utility>

namespace camphorgrade::agent {

namespace {

constexpr duration tick_period{100};
constexpr duration retry_soon{500};
constexpr token tick = 1;

placement::adapter_ref adapter_of(const wire::run_attempt& request) {
    return request.adapter().empty() ? placement::adapter_ref{}
                                     : placement::parse_adapter(request.adapter());
}

} // namespace

backend_service::backend_service(backend_settings settings, const engine_driver& driver)
    : settings_(std::move(settings)), driver_(driver), drain_(settings_.drain) {}

backend_service::~backend_service() = default;

void backend_service::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership::membership_service>("membership");
    standing_ = &kernel.find<membership::standing_service>("standing");
    once_ = &kernel.find<delivery::once_records>("once");
    quarantine_ = &kernel.find<delivery::quarantine>("quarantine");
    reporter_ = &kernel.find<placement::reporter>("reporter");
    pacer_ = &kernel.find<placement::load_pacer>("load_pacer");
    director_ = &kernel.find<placement::load_director>("load_director");
    metrics_ = &kernel.find<metrics>("metrics");
    kernel.find<config::configuration_service>("configuration").add_listener(*this);
    reporter_->set_source(*this);
}

void backend_service::start(step& now) {
    seen_.emplace(now.life(), settings_.keep);
    now.emit(set_timer{std::string(name()), tick, now.time() + tick_period});
}

void backend_service::on_message(const message& received, step& now) {
    wire::forward_to_agent content;
    if (!content.ParseFromString(received.payload)) {
        metrics_->count("camphor_malformed_messages_total", {{"service", "forward"}});
        return;
    }
    switch (content.kind_case()) {
    case wire::forward_to_agent::kRun:
        take(received, content.run(), now);
        break;
    case wire::forward_to_agent::kCancel:
        cancel(received, content.cancel(), now);
        break;
    case wire::forward_to_agent::kAcknowledged:
        acknowledge(received, content.acknowledged(), now);
        break;
    case wire::forward_to_agent::KIND_NOT_SET:
        break;
    }
}

void backend_service::take(const message& received, const wire::run_attempt& wanted, step& now) {
    const delivery::attempt_id id{received.from, received.from_incarnation,
                                  request_id{wanted.request()}, wanted.attempt()};
    const auto arrival = seen_->arrive(id, incarnation{wanted.agent_incarnation()}, now.time());
    if (arrival == delivery::arrival::duplicate) {
        if (job* known = find(id)) {
            for (const auto& each : known->outbox.again(now.time())) {
                transmit(*known, each, now);
            }
        }
        return;
    }
    auto fresh = std::make_unique<job>(id, wanted, settings_.resend_after);
    if (arrival == delivery::arrival::wrong_life) {
        transmit(*fresh, {0, delivery::part_unknown{}}, now);
        return;
    }
    if (arrival != delivery::arrival::fresh) {
        return;
    }
    fresh->number = ++last_number_;
    fresh->arrived = now.time();
    fresh->deadline = now.time() + duration{wanted.deadline_ms()};
    fresh->trace = make_span_context(wanted.trace_id(), now.random());
    fresh->suspect = {delivery::quarantine_fingerprint(wanted.client_account(), wanted.service(),
                                                       wanted.adapter(), wanted.body()),
                      wanted.client_account(), wanted.service()};
    job& taken = *fresh;
    by_number_[taken.number] = &taken;
    jobs_[id] = std::move(fresh);
    admit(taken, now);
}

std::optional<delivery::part> backend_service::reason_to_refuse(const job& taken,
                                                                time_point now) const {
    using delivery::part_refused;
    using delivery::refusal_type;
    const auto& wanted = taken.request;
    if (!drain_.accepts_new()) {
        return part_refused{refusal_type::leaving, duration{0}};
    }
    if (queue_ == nullptr || down_since_) {
        return part_refused{refusal_type::backend_down, retry_soon};
    }
    if (!standing_->accepts(wanted.epoch(), taken.id.gateway, taken.id.gateway_life)) {
        return part_refused{refusal_type::sealed_epoch, duration{0}};
    }
    const bool names_adapter = !wanted.adapter().empty();
    if (names_adapter != (engine_ != nullptr) ||
        (names_adapter && !text_->resolve_adapter(wanted.adapter()))) {
        return part_refused{refusal_type::unknown_adapter, duration{0}};
    }
    const auto standing = quarantine_->standing(taken.suspect.content, now);
    if (standing.verdict == delivery::quarantine_verdict::refuse) {
        return part_refused{refusal_type::quarantined, standing.ends_in};
    }
    return std::nullopt;
}

void backend_service::admit(job_ref taken, step& now) {
    if (const auto refusal = reason_to_refuse(taken, now.time())) {
        end(taken, *refusal, now);
        return;
    }
    const auto standing = quarantine_->standing(taken.suspect.content, now.time());
    taken.alone =
        taken.request.suspect() || standing.verdict == delivery::quarantine_verdict::run_alone;
    send(taken, delivery::part_accepted{}, now);
    const auto& wanted = taken.request;
    queue_->admit({taken.number, wanted.client_account(), adapter_of(wanted),
                   wanted.prompt_tokens(), wanted.max_tokens(), now.time(), taken.deadline},
                  now);
    reporter_->changed(now);
}

void backend_service::acknowledge(const message& received,
                                  const wire::part_acknowledged& acknowledged, step& now) {
    job* known = find({received.from, received.from_incarnation, request_id{acknowledged.request()},
                       acknowledged.attempt()});
    if (known == nullptr) {
        return;
    }
    if (!known->outbox.acknowledge(acknowledged.next_sequence())) {
        // Asked again: a part was lost.
        for (const auto& each : known->outbox.again(now.time())) {
            transmit(*known, each, now);
        }
    }
    if (drain_.leaving()) {
        update_drain(now);
    }
}

void backend_service::cancel(const message& received, const wire::cancel_attempt& cancelled,
                             step& now) {
    const delivery::attempt_id id{received.from, received.from_incarnation,
                                  request_id{cancelled.request()}, cancelled.attempt()};
    seen_->cancel(id, now.time());
    job* known = find(id);
    if (known == nullptr) {
        return;
    }
    if (known->state == job_state::ended) {
        // The gateway has what it needs: nothing more is to be sent.
        known->outbox.acknowledge(std::numeric_limits<std::uint64_t>::max());
        return;
    }
    known->cancelled = true;
    if (known->state == job_state::waiting && queue_->cancel(known->number)) {
        end(*known, delivery::part_refused{delivery::refusal_type::deadline, duration{0}}, now);
    } else if (known->state == job_state::recording) {
        // It was not told to run, and now never will be.
        once_->abandon(*known->ticket, now);
        by_ticket_.erase(*known->ticket);
        known->ticket.reset();
        end(*known, delivery::part_refused{delivery::refusal_type::deadline, duration{0}}, now);
    } else if (known->state == job_state::running && known->request.repeatable()) {
        // What may not be repeated runs to its end, so that its outcome becomes known.
        now.emit(cancel_call{known->call});
    }
}

void backend_service::on_timer(token /*id*/, step& now) {
    enforce_deadlines(now);
    tend_down_server(now);
    resend(now);
    forget_settled(now.time());
    if (queue_ != nullptr) {
        queue_->pump(now);
    }
    update_drain(now);
    now.emit(set_timer{std::string(name()), tick, now.time() + tick_period});
}

void backend_service::on_shutdown(step& now) {
    drain_.begin(unsettled(), now.time());
    now.emit(write_log{log_level::info, "graceful_shutdown_begun", {}});
    reporter_->changed(now);
    update_drain(now);
}

void backend_service::on_refused(std::uint64_t id, delivery::refusal_type why, duration retry_after,
                                 step& now) {
    if (job* refused = find_number(id)) {
        end(*refused, delivery::part_refused{why, retry_after}, now);
    }
}

void backend_service::on_start(std::uint64_t id, step& now) {
    job* startable = find_number(id);
    CAMPHOR_INVARIANT(startable != nullptr);
    if (startable->alone) {
        ++exclusive_;
        if (running_ > 0) {
            startable->state = job_state::held;
            return;
        }
    }
    run(*startable, now);
}

std::size_t backend_service::free_seats() const {
    if (exclusive_ > 0 || running_ >= settings_.seats) {
        return 0;
    }
    return settings_.seats - running_;
}

void backend_service::start_held(step& now) {
    if (running_ > 0 || exclusive_ == 0) {
        return;
    }
    for (const auto& [number, each] : by_number_) {
        if (each->state == job_state::held) {
            run(*each, now);
            return;
        }
    }
}

placement::agent_status backend_service::status(time_point now) const {
    placement::agent_status status;
    if (queue_ != nullptr && !down_since_) {
        status = queue_->status(now);
    }
    status.data_centre = settings_.data_centre;
    status.leaving = drain_.leaving();
    status.running = static_cast<std::uint32_t>(running_);
    status.free_seats = static_cast<std::uint32_t>(free_seats());
    return status;
}

void backend_service::configuration_changed(const config::operators_text& text,
                                            std::uint64_t /*revision*/, step& now) {
    text_ = &text;
    const placement::store_limit limit{static_cast<double>(text.store().loads_per_s),
                                       text.store().parallel_loads};
    pacer_->set_limit(limit);
    director_->set_limit(limit);
    const auto* server = text.find_backend_server(settings_.backend_server);
    if (server == nullptr) {
        now.emit(write_log{log_level::warning,
                           "backend_server_not_in_text",
                           {{"backend_server", settings_.backend_server}}});
        return;
    }
    if (!server_) {
        server_ = *server;
        build_queue(now);
    }
}

void backend_service::on_fencing_number(placement::fencing_number number, step& now) {
    fencing_ = number;
    build_queue(now);
}

void backend_service::build_queue(step& now) {
    if (!server_ || queue_ != nullptr) {
        return;
    }
    if (server_->kind == config::backend_kind::plain) {
        queue_ = std::make_unique<plain_queue>(server_->services, settings_.plain_capacity, *this);
    } else if (fencing_) {
        placement::scheduler_settings scheduling;
        scheduling.slots.slots = server_->slots;
        scheduling.slots.engine_checks_fencing = server_->checks_fencing;
        scheduling.weights =
            placement::weights_for(text_->weigh() == config::deployment_weight::fairness
                                       ? placement::weighed_measure::fairness
                                       : placement::weighed_measure::load_stalls);
        auto built = std::make_unique<engine_queue>(
            engine_queue::parts{driver_, *pacer_, *this, std::string(name()), server_->address,
                                server_->model},
            scheduling, *fencing_, now.time());
        engine_ = built.get();
        queue_ = std::move(built);
    } else {
        return; // an engine takes no orders before this life of the agent has its number
    }
    reporter_->changed(now);
    now.emit(
        write_log{log_level::info, "backend_server_taken", {{"backend_server", server_->name}}});
}

std::uint64_t backend_service::unsettled() const {
    std::uint64_t count = 0;
    for (const auto& [id, each] : jobs_) {
        count += each->outbox.settled() ? 0 : 1;
    }
    return count;
}

void backend_service::update_drain(step& now) {
    if (!drain_.leaving() || exiting_) {
        return;
    }
    drain_.on_running(unsettled(), now.time());
    drain_.on_time(now.time());
    if (drain_.state() == delivery::drain_state::handing_over && once_->idle()) {
        drain_.on_handed_over();
    }
    if (drain_.state() == delivery::drain_state::stopped) {
        exiting_ = true;
        membership_->deregister(now);
        now.emit(write_log{
            log_level::info, "graceful_shutdown_ended", {{"cut", std::to_string(drain_.cut())}}});
        now.emit(exit_process{});
    }
}

job* backend_service::find(const delivery::attempt_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

job* backend_service::find_number(std::uint64_t number) {
    const auto found = by_number_.find(number);
    return found == by_number_.end() ? nullptr : found->second;
}

} // namespace camphorgrade::agent
