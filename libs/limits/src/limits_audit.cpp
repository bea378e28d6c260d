#include <limits/limits_service.h>

#include <wire/limits.pb.h>

#include <algorithm>
#include <utility>

/** @file The part of limits_service that finds the shares that nobody holds any more. */
namespace camphorgrade::limits {

void limits_service::run_audit(step& now) {
    if (generation_ == 0 || leaving_ || !standing_->audits(now.time())) {
        audit_.reset();
        return;
    }
    if (audit_dead_ != standing_->dead()) {
        audit_.reset();
        next_audit_ = now.time();
    }
    if (!audit_) {
        if (now.time() >= next_audit_) {
            start_audit(now);
        }
        return;
    }
    if (now.time() - audit_started_ >= options_.audit_patience) {
        audit_.reset();
        next_audit_ = now.time();
    } else if (now.time() - audit_sent_ >= options_.audit_resend) {
        send_audit(now);
    }
}

void limits_service::start_audit(step& now) {
    const auto& members = standing_->record().members;
    const auto self = std::find_if(members.begin(), members.end(), [&](const auto& each) {
        return each.generation == generation_;
    });
    audit_epoch_ = standing_->epoch();
    audit_dead_ = standing_->dead();
    audit_count_ = std::max(audit_count_, count_of_round(book_.round())) + 1;
    const std::uint64_t round =
        audit_round(audit_epoch_, audit_count_, static_cast<std::uint64_t>(self - members.begin()));
    std::set<std::uint64_t> waited_for = members_;
    for (const std::uint64_t each : audit_dead_) {
        waited_for.erase(each);
    }
    reported_ = join_round(round, audit_dead_);
    audit_.emplace(round, std::move(waited_for));
    audit_->report(generation_, reported_);
    audit_started_ = now.time();
    next_audit_ = now.time() + options_.audit_period;
    send_audit(now);
    if (audit_->complete()) {
        finish_audit(now);
    }
}

void limits_service::send_audit(step& now) {
    audit_sent_ = now.time();
    wire::limits_message content;
    wire::audit_started& out = *content.mutable_audit();
    out.set_epoch(audit_epoch_);
    out.set_round(audit_->round());
    for (const std::uint64_t each : audit_dead_) {
        out.add_sealed(each);
    }
    for (const std::uint64_t each : audit_->missing()) {
        send(each, content, now);
    }
}

void limits_service::finish_audit(step& now) {
    const std::vector<std::uint64_t> others = peers();
    const auto holders = static_cast<std::int64_t>(others.size() + 1);
    for (account_entry& entry : accounts_) {
        const share found = audit_->unheld(entry.first);
        if (!entry.second.configured || found.empty()) {
            continue;
        }
        entry.second.held.receive(found, now.time());
        const share even{found.rate_parts / holders, found.burst_parts / holders, 0};
        for (const std::uint64_t each : others) {
            if (!even.empty()) {
                give(entry, each, even, now);
            }
        }
    }
    audit_.reset();
}

audit_holdings limits_service::join_round(std::uint64_t round,
                                          const std::set<std::uint64_t>& dead) {
    audit_holdings held = book_.join(round, dead);
    for (const auto& [client_account, of] : accounts_) {
        share& sum = held[client_account];
        sum.rate_parts += of.held.rate_parts();
        sum.burst_parts += of.held.burst_parts();
    }
    return held;
}

void limits_service::on_audit(const wire::audit_started& content, const message& received,
                              step& now) {
    const std::uint64_t auditor = generation_of(received);
    if (auditor == 0 || content.epoch() != standing_->epoch()) {
        return; // the one that is behind learns of the epoch from a witness; it is asked again
    }
    if (content.round() > book_.round()) {
        audit_.reset();
        reported_ = join_round(content.round(), {content.sealed().begin(), content.sealed().end()});
    }
    wire::limits_message reply;
    wire::audit_report& out = *reply.mutable_report();
    out.set_epoch(content.epoch());
    out.set_round(book_.round());
    out.set_generation(generation_);
    out.set_only_round(content.round() != book_.round());
    if (!out.only_round()) {
        for (const auto& [client_account, held] : reported_) {
            wire::share_entry& entry = *out.add_held();
            entry.set_client_account(client_account);
            entry.set_rate_parts(held.rate_parts);
            entry.set_burst_parts(held.burst_parts);
        }
    }
    send(auditor, reply, now);
}

void limits_service::on_report(const wire::audit_report& content, const message& received,
                               step& now) {
    const std::uint64_t member = generation_of(received);
    if (!audit_ || member == 0 || member != content.generation() ||
        content.epoch() != audit_epoch_) {
        return;
    }
    if (content.only_round() || content.round() != audit_->round()) {
        // A member has joined a later round of another auditor: begin beyond it.
        if (content.round() > audit_->round()) {
            audit_count_ = std::max(audit_count_, count_of_round(content.round()));
            audit_.reset();
            next_audit_ = now.time();
        }
        return;
    }
    audit_holdings held;
    for (const wire::share_entry& each : content.held()) {
        held[each.client_account()] = {each.rate_parts(), each.burst_parts(), 0};
    }
    audit_->report(member, held);
    if (audit_->complete() && standing_->audits(now.time())) {
        finish_audit(now);
    }
}

} // namespace camphorgrade::limits
