#include <placement/load_director.h>

#include <wire/placement.pb.h>

#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr token give_timer = 1;

std::vector<load_want> wants_of(const wire::load_request& request) {
    std::vector<load_want> wants;
    wants.reserve(static_cast<std::size_t>(request.wanted_size()));
    for (const wire::wanted_load& each : request.wanted()) {
        wants.push_back({parse_adapter(each.adapter()), each.client_account(),
                         duration{each.urgency_ms()}, each.prefetch()});
    }
    return wants;
}

} // namespace

load_director::load_director(store_limit limit) : limit_(limit) {}

void load_director::set_limit(store_limit limit) {
    if (limit == limit_) {
        return;
    }
    limit_ = limit;
    ledger_.reset(); // a new ledger starts with nothing to give
}

void load_director::on_message(const message& received, step& now) {
    wire::load_request request;
    if (!request.ParseFromString(received.payload)) {
        return;
    }
    if (!ledger_) {
        ledger_.emplace(limit_, now.time(), now.random().next());
    }
    for (const std::uint64_t each : request.finished()) {
        ledger_->finished(received.from, each, now.time());
    }
    last_request& last = last_[received.from];
    const last_request current{received.from_incarnation, request.sequence()};
    if (current > last) {
        last = current;
        ledger_->ask(received.from, wants_of(request), now.time());
    }
    wire::load_reply noted;
    noted.set_sequence(last.sequence);
    now.send(received.from, "load_pacer", noted.SerializeAsString());
    give(now);
}

void load_director::on_timer(token /*id*/, step& now) {
    if (armed_ && now.time() >= armed_for_) {
        armed_ = false;
    }
    give(now);
}

void load_director::give(step& now) {
    if (!ledger_) {
        return;
    }
    for (const granted_load& each : ledger_->grants(now.time())) {
        wire::load_reply reply;
        reply.set_sequence(last_[each.agent].sequence);
        wire::load_grant* granted = reply.add_grants();
        granted->set_grant(each.grant);
        granted->set_adapter(to_string(each.adapter));
        now.send(each.agent, "load_pacer", reply.SerializeAsString());
    }
    const auto due = ledger_->next_due(now.time());
    if (due && (!armed_ || *due < armed_for_)) {
        armed_ = true;
        armed_for_ = *due;
        now.emit(set_timer{std::string(name()), give_timer, *due});
    }
}

} // namespace camphorgrade::placement
