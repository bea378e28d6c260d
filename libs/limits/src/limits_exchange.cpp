#include <limits/limits_service.h>

#include <wire/limits.pb.h>

#include <algorithm>
#include <utility>

/** @file The part of limits_service that moves shares between gateways. */
namespace camphorgrade::limits {

namespace {

constexpr std::int64_t full_per_cent = 95;
constexpr std::int64_t hundred = 100;
constexpr micro_tokens reserve_divisor = 4; // of an even part of the burst, asked for beyond need

void to_wire(const std::string& client_account, const share& from, wire::share_entry& out) {
    out.set_client_account(client_account);
    out.set_rate_parts(from.rate_parts);
    out.set_burst_parts(from.burst_parts);
    out.set_level(from.level);
}

/** Whether a message that another process sent holds a share that there can be. */
bool is_share(const wire::share_entry& in) {
    return in.rate_parts() >= 0 && in.rate_parts() <= whole && in.burst_parts() >= 0 &&
           in.burst_parts() <= whole && in.level() >= 0;
}

} // namespace

void limits_service::on_message(const message& received, step& now) {
    wire::limits_message content;
    if (generation_ == 0 || !content.ParseFromString(received.payload)) {
        return;
    }
    switch (content.kind_case()) {
    case wire::limits_message::kWanted:
        on_wanted(content.wanted(), received, now);
        break;
    case wire::limits_message::kTransfer:
        on_transfer(content.transfer(), received, now);
        break;
    case wire::limits_message::kAcknowledged:
        on_acknowledged(content.acknowledged(), received);
        break;
    case wire::limits_message::kRefused: {
        const auto found = accounts_.find(content.refused().client_account());
        if (found != accounts_.end()) {
            answered(*found, generation_of(received), now);
        }
        break;
    }
    case wire::limits_message::kAudit:
        on_audit(content.audit(), received, now);
        break;
    case wire::limits_message::kReport:
        on_report(content.report(), received, now);
        break;
    case wire::limits_message::KIND_NOT_SET:
        break;
    }
    arm_next(now);
}

void limits_service::start_search(account_entry& entry, step& now) {
    account& of = entry.second;
    search& peers_of = of.peers;
    if (peers_of.active || of.queue.empty() || now.time() < peers_of.dry_until) {
        return;
    }
    peers_of.to_ask = peers();
    for (std::size_t i = peers_of.to_ask.size(); i > 1; --i) {
        std::swap(peers_of.to_ask[i - 1], peers_of.to_ask[now.random().below(i)]);
    }
    const bool needs_all = of.queue.front().cost > of.held.capacity();
    if (!needs_all && peers_of.to_ask.size() > options_.most_asked) {
        peers_of.to_ask.resize(options_.most_asked);
    }
    peers_of.asked.clear();
    peers_of.active = true;
    continue_search(entry, now);
}

void limits_service::continue_search(account_entry& entry, step& now) {
    account& of = entry.second;
    search& peers_of = of.peers;
    if (of.queue.empty()) {
        peers_of.active = false;
        return;
    }
    if (!peers_of.active) {
        start_search(entry, now);
        return;
    }
    std::erase_if(peers_of.asked, [&](const auto& each) {
        return now.time() - each.second >= options_.answer_patience;
    });
    const micro_tokens reserve =
        of.held.account_burst() / static_cast<micro_tokens>(members_.size() + 1) / reserve_divisor;
    while (!peers_of.to_ask.empty() && peers_of.asked.size() < options_.asked_at_once) {
        const std::uint64_t peer = peers_of.to_ask.back();
        peers_of.to_ask.pop_back();
        peers_of.asked.emplace(peer, now.time());
        const micro_tokens missing = of.awaited - of.held.level(now.time());
        ask(entry, peer, std::max<micro_tokens>(missing, 0) + reserve, true, now);
    }
    if (peers_of.asked.empty()) {
        peers_of.active = false;
        peers_of.dry_until = now.time() + options_.dry_period;
        refuse_hopeless(of, now);
    }
}

void limits_service::answered(account_entry& entry, std::uint64_t peer, step& now) {
    entry.second.peers.asked.erase(peer);
    drain(entry, now);
    if (entry.second.peers.active) {
        continue_search(entry, now);
    }
}

void limits_service::ask(account_entry& entry, std::uint64_t peer, micro_tokens wanted, bool urgent,
                         step& now) {
    wire::limits_message content;
    wire::share_wanted& out = *content.mutable_wanted();
    out.set_client_account(entry.first);
    out.set_tokens(wanted);
    out.set_demand(entry.second.demand.per_second(now.time()));
    out.set_rate_parts(entry.second.held.rate_parts());
    out.set_burst_parts(entry.second.held.burst_parts());
    out.set_generation(generation_);
    out.set_urgent(urgent);
    send(peer, content, now);
}

void limits_service::balance(account_entry& entry, step& now) {
    account& of = entry.second;
    const std::vector<std::uint64_t> others = peers();
    const micro_tokens level = of.held.level(now.time());
    const bool full = level >= scale_down(of.held.capacity(), full_per_cent, hundred);
    if (others.empty() || !of.configured || of.peers.active || full) {
        return;
    }
    const micro_tokens even = of.held.account_burst() / static_cast<micro_tokens>(members_.size());
    const bool used = of.demand.per_second(now.time()) > 0;
    const micro_tokens wanted = used ? std::max<micro_tokens>(even / 2 - level, 0) : 0;
    for (std::size_t i = 0; i < options_.asked_ahead; ++i) {
        ask(entry, others[now.random().below(others.size())], wanted, false, now);
    }
}

void limits_service::on_wanted(const wire::share_wanted& wanted, const message& received,
                               step& now) {
    const auto found = accounts_.find(wanted.client_account());
    const std::uint64_t asker = generation_of(received);
    if (asker == 0 || asker != wanted.generation()) {
        return;
    }
    share gift;
    if (found != accounts_.end() && found->second.configured) {
        const account& of = found->second;
        const share_request request{std::max<micro_tokens>(wanted.tokens(), 0),
                                    std::max<std::int64_t>(wanted.demand(), 0),
                                    std::clamp<parts>(wanted.rate_parts(), 0, whole),
                                    std::clamp<parts>(wanted.burst_parts(), 0, whole)};
        const giver_state self{of.demand.per_second(now.time()), of.awaited};
        gift = choose_gift(of.held, self, request, now.time());
    }
    if (!gift.empty()) {
        give(*found, asker, gift, now);
        return;
    }
    if (wanted.urgent()) {
        wire::limits_message content;
        content.mutable_refused()->set_client_account(wanted.client_account());
        send(asker, content, now);
    }
}

void limits_service::give(account_entry& entry, std::uint64_t receiver, const share& gift,
                          step& now) {
    entry.second.held.give(gift, now.time());
    send_transfer(book_.give(receiver, entry.first, gift, now.time()), now);
}

void limits_service::on_transfer(const wire::share_transfer& content, const message& received,
                                 step& now) {
    const std::uint64_t giver = generation_of(received);
    if (giver == 0 || giver != content.giver() || content.receiver() != generation_ ||
        !is_share(content.share())) {
        return;
    }
    const transfer_verdict verdict = book_.judge(giver, content.sequence(), content.round());
    if (verdict == transfer_verdict::too_early || verdict == transfer_verdict::refused) {
        return;
    }
    wire::limits_message reply;
    wire::transfer_acknowledged& out = *reply.mutable_acknowledged();
    out.set_giver(giver);
    out.set_receiver(generation_);
    out.set_sequence(content.sequence());
    out.set_round(book_.round());
    send(giver, reply, now);
    if (verdict == transfer_verdict::apply) {
        const wire::share_entry& in = content.share();
        account_entry& entry = *accounts_.try_emplace(in.client_account()).first;
        entry.second.held.receive({in.rate_parts(), in.burst_parts(), in.level()}, now.time());
        answered(entry, giver, now);
    }
}

void limits_service::on_acknowledged(const wire::transfer_acknowledged& content,
                                     const message& received) {
    if (content.giver() == generation_ && content.receiver() == generation_of(received)) {
        book_.acknowledge(content.receiver(), content.sequence(), content.round());
    }
}

void limits_service::hand_back(step& now) {
    leaving_ = true;
    for (account_entry& entry : accounts_) {
        refuse_all_waiting(entry.second, refusal_reason::leaving, now);
    }
    give_all_away(now);
    arm_next(now);
}

bool limits_service::handed_back() const {
    if (!leaving_) {
        return false;
    }
    const bool holds = std::any_of(accounts_.begin(), accounts_.end(), [](const auto& entry) {
        return entry.second.held.rate_parts() != 0 || entry.second.held.burst_parts() != 0;
    });
    return peers().empty() || (!holds && book_.settled());
}

void limits_service::give_all_away(step& now) {
    const std::vector<std::uint64_t> others = peers();
    if (others.empty()) {
        return;
    }
    for (account_entry& entry : accounts_) {
        const account_share& held = entry.second.held;
        const share all{held.rate_parts(), held.burst_parts(), held.level(now.time())};
        if (!all.empty()) {
            give(entry, others[now.random().below(others.size())], all, now);
        }
    }
}

void limits_service::send_transfer(const transfer& content, step& now) {
    wire::limits_message out;
    wire::share_transfer& sent = *out.mutable_transfer();
    sent.set_epoch(standing_->epoch());
    sent.set_giver(generation_);
    sent.set_receiver(content.receiver);
    sent.set_sequence(content.sequence);
    sent.set_round(content.round);
    to_wire(content.client_account, content.given, *sent.mutable_share());
    send(content.receiver, out, now);
}

void limits_service::send(std::uint64_t generation, const wire::limits_message& content,
                          step& now) {
    const membership::epoch_member* to = standing_->record().find_generation(generation);
    if (to != nullptr) {
        now.send(to->who.address, std::string(name()), content.SerializeAsString());
    }
}

std::vector<std::uint64_t> limits_service::peers() const {
    std::vector<std::uint64_t> found;
    for (const std::uint64_t each : members_) {
        if (each != generation_ && standing_->dead().count(each) == 0) {
            found.push_back(each);
        }
    }
    return found;
}

std::uint64_t limits_service::generation_of(const message& received) const {
    const membership::epoch_member* from = standing_->record().find_address(received.from);
    const bool same = from != nullptr && from->who.life == received.from_incarnation;
    return same && from->generation != generation_ ? from->generation : 0;
}

} // namespace camphorgrade::limits
