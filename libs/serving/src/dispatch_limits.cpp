#include <serving/dispatcher.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorgrade::serving {

void dispatcher::record_limit(request_handle id, const request& entry,
                              const response_metadata& head, time_point now) {
    // A value that can't be parsed is no evidence that the limit has ended.
    if (head.has_invalid_request_limit) {
        return;
    }
    const auto change = limits_.on_response(entry.sent_to, head.request_limit, entry.sent, now);
    if (change) {
        on_limit_changed({id, {}, *change}, now);
    }
}

void dispatcher::on_limit_report(const std::string& peer, const limit_report& report,
                                 time_point now) {
    if (const auto change = limits_.on_report(report, now)) {
        on_limit_changed({0, peer, *change}, now);
    }
}

void dispatcher::on_limit_changed(limit_changed effect, time_point now) {
    const auto server = effect.change.server;
    permits_.on_limit_changed(server, now);
    effects_.emplace_back(std::move(effect));
    send_waiting_requests(server.id, now);
}

permit_demand dispatcher::waiting_for_permits() const {
    permit_demand out;
    if (effective_limits_.is_empty()) {
        return out;
    }
    for (const auto& [id, each] : requests_) {
        const auto* view = each.state == phase::waiting ? backends_.find(each.backend_id) : nullptr;
        if (view != nullptr && effective_limits_.find(view->server.process())) {
            ++out[view->server.process()];
        }
    }
    return out;
}

std::vector<permit_message> dispatcher::exchange_permits(time_point now) {
    std::map<server_process, time_point> previous_replies;
    const auto demand = waiting_for_permits();
    for (const auto& each : demand) {
        previous_replies[each.first] = permits_.last_reply_at(each.first);
    }
    std::vector<server_process> replied;
    auto messages = permits_.advance(demand, replied, now);
    for (const auto& each : replied) {
        on_permit_reply(each, previous_replies[each], now);
    }
    return messages;
}

void dispatcher::on_permit_grants(const std::string& peer, const permit_grants& grants,
                                  time_point now) {
    std::map<server_process, time_point> previous_replies;
    for (const auto& each : grants.grants) {
        previous_replies[each.server] = permits_.last_reply_at(each.server);
    }
    for (const auto& each : permits_.on_grants(peer, grants, now)) {
        on_permit_reply(each, previous_replies[each], now);
    }
}

void dispatcher::on_permit_reply(const server_process& server, time_point previous_reply,
                                 time_point now) {
    send_waiting_requests(server.id, now);
    for (auto& [id, each] : requests_) {
        const bool is_unestimated = each.state == phase::waiting && each.backend_id == server.id &&
                                    each.placed > previous_reply && each.placed < now;
        if (is_unestimated) {
            detach_from_backend(each);
            place(id, each, now);
        }
    }
}

void dispatcher::update_cold_servers(time_point now) {
    for (const auto& each : cold_.update(now)) {
        permits_.on_limit_changed(each, now);
        send_waiting_requests(each.id, now);
    }
}

void dispatcher::forget_ended_servers(time_point now) {
    if (now - ended_servers_forgotten_at_ < settings_.ended_server_interval) {
        return;
    }
    ended_servers_forgotten_at_ = now;
    cold_.erase_unknown([this](const std::string& id) { return backends_.find(id) != nullptr; });
    speeds_.erase_ended([this](const server_process& server) {
        const auto* view = backends_.find(server.id);
        return view != nullptr && view->server.process() == server;
    });
}

void dispatcher::erase_ended_limits(time_point now) {
    const auto is_current = [&](const server_process& server) -> std::optional<bool> {
        const auto* view = backends_.find(server.id);
        return view == nullptr ? std::nullopt : std::optional(view->server.process() == server);
    };
    limits_.erase_ended(is_current, now);
}

std::uint32_t dispatcher::waiting_ahead(request_handle id, const request& entry) const {
    return static_cast<std::uint32_t>(
        std::count_if(requests_.begin(), requests_.lower_bound(id), [&](const auto& each) {
            return each.second.state == phase::waiting &&
                   each.second.backend_id == entry.backend_id;
        }));
}

} // namespace camphorgrade::serving
