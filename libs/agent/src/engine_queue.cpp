#include <agent/engine_queue.h>

#include <utility>

namespace camphorgrade::agent {

namespace {

// Apart from the numbers of the calls that carry requests, which count up from 1.
constexpr std::uint64_t first_own_call = std::uint64_t{1} << 62U;

delivery::refusal_type to_refusal(placement::schedule_refusal reason) {
    switch (reason) {
    case placement::schedule_refusal::queue_full:
    case placement::schedule_refusal::account_share_full:
    case placement::schedule_refusal::deadline_unreachable:
        return delivery::refusal_type::queue_full;
    case placement::schedule_refusal::deadline_passed:
        return delivery::refusal_type::deadline;
    case placement::schedule_refusal::load_failed:
        return delivery::refusal_type::load_failed;
    case placement::schedule_refusal::superseded:
        return delivery::refusal_type::leaving;
    }
    return delivery::refusal_type::queue_full;
}

} // namespace

engine_queue::engine_queue(parts with, placement::scheduler_settings settings,
                           placement::fencing_number fencing, time_point now)
    : with_(std::move(with)), scheduler_(settings, fencing, now), next_call_(first_own_call) {
    with_.pacer.set_sink(*this);
}

void engine_queue::admit(const placement::queued_request& request, step& now) {
    const auto refused = scheduler_.admit(request, now.time());
    if (refused) {
        with_.listener.on_refused(request.id, to_refusal(refused->reason), refused->retry_after,
                                  now);
        return;
    }
    pump(now);
}

bool engine_queue::cancel(std::uint64_t id) {
    return scheduler_.cancel(id);
}

void engine_queue::finished(std::uint64_t id, std::uint64_t generated_tokens, step& now) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    scheduler_.finished(found->second.request, generated_tokens);
    running_.erase(found);
    pump(now);
}

void engine_queue::pump(step& now) {
    if (pumping_) {
        return; // the outer call sees to what this one would
    }
    pumping_ = true;
    if (!listing_ && scheduler_.table().wants_listing(now.time())) {
        listing_ = true;
        call(with_.driver.listing_request(), {std::nullopt, now.time(), {}}, now);
    }
    auto next = scheduler_.next(now.time(), with_.listener.free_seats());
    for (const auto& each : next.refusals) {
        with_.listener.on_refused(each.request.id, to_refusal(each.reason), each.retry_after, now);
    }
    for (const auto& each : next.orders) {
        call(with_.driver.order_request(each), {each, now.time(), {}}, now);
    }
    for (auto& each : next.starts) {
        start(each, now);
    }
    with_.pacer.want(std::move(next.wants), now);
    pumping_ = false;
}

void engine_queue::start(placement::request_start& next, step& now) {
    const auto id = next.request.id;
    running_.emplace(id, std::move(next));
    with_.listener.on_start(id, now);
}

void engine_queue::on_missing_adapter(std::uint64_t id, step& now) {
    const auto found = running_.find(id);
    if (found != running_.end()) {
        scheduler_.table().on_missing(found->second.request.adapter, now.time());
    }
}

placement::agent_status engine_queue::status(time_point now) const {
    auto status = scheduler_.status(now);
    status.pool = with_.pool;
    status.boot = boot_.value();
    return status;
}

bool engine_queue::on_permit(const placement::adapter_ref& adapter, time_point expires, step& now) {
    const bool useful = scheduler_.permit(adapter, expires, now.time());
    if (useful) {
        pump(now);
    }
    return useful;
}

bool engine_queue::on_call(call_id call, const call_progress& progress, step& now) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return call.value() >= first_own_call;
    }
    if (const auto* head = std::get_if<http_head>(&progress)) {
        found->second.answer.head = *head;
    } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
        found->second.answer.body += chunk->bytes;
    } else {
        own_call over = std::move(found->second);
        calls_.erase(found);
        ended(over, std::holds_alternative<http_end>(progress), now);
    }
    return true;
}

void engine_queue::on_boot(placement::boot_id boot, step& now) {
    boot_ = boot;
    scheduler_.table().on_boot(boot, now.time());
}

void engine_queue::call(const http_request& request, own_call what, step& now) {
    const call_id id{++next_call_};
    calls_.emplace(id, std::move(what));
    now.emit(call_backend{with_.service, id, request, with_.endpoint});
}

void engine_queue::ended(own_call& ended_call, bool whole, step& now) {
    const auto boot = whole ? with_.driver.boot_of(ended_call.answer.head) : std::nullopt;
    if (boot && *boot != boot_) {
        on_boot(*boot, now);
    }
    if (ended_call.order) {
        order_ended(ended_call, whole, now);
    } else {
        listing_ = false;
        const auto listing =
            whole ? with_.driver.listing_of(ended_call.answer, ended_call.asked_at) : std::nullopt;
        if (listing) {
            scheduler_.table().on_listing(*listing, now.time());
        }
    }
    pump(now);
}

void engine_queue::order_ended(const own_call& ended_call, bool whole, step& now) {
    const auto& order = *ended_call.order;
    const auto outcome = whole ? with_.driver.order_outcome_of(order, ended_call.answer)
                               : placement::order_outcome::unknown;
    scheduler_.on_result({order.id, order.boot, order.fencing, outcome}, now.time());
    if (order.kind == placement::order_kind::load) {
        with_.pacer.finished(order.adapter, now);
    }
    if (outcome != placement::order_outcome::done) {
        now.emit(write_log{log_level::warning,
                           "adapter_order_failed",
                           {{"adapter", to_string(order.adapter)},
                            {"kind", order.kind == placement::order_kind::load ? "load" : "unload"},
                            {"status", std::to_string(ended_call.answer.head.status)}}});
    }
}

} // namespace camphorgrade::agent
