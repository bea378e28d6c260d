#include <limits/transfer_book.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::limits {

namespace {

void add(share& sum, const share& more) {
    sum.rate_parts += more.rate_parts;
    sum.burst_parts += more.burst_parts;
}

} // namespace

const transfer& transfer_book::give(std::uint64_t receiver, const std::string& client_account,
                                    const share& given, time_point now) {
    const std::uint64_t sequence = ++next_sequence_[receiver];
    outgoing entry{{receiver, sequence, round_, client_account, given}, now};
    return outgoing_[receiver].emplace(sequence, std::move(entry)).first->second.content;
}

std::vector<transfer> transfer_book::due(time_point now, duration resend_after) {
    std::vector<transfer> found;
    for (auto& [receiver, transfers] : outgoing_) {
        for (auto& [sequence, each] : transfers) {
            if (now - each.sent_at >= resend_after) {
                each.sent_at = now;
                found.push_back(each.content);
            }
        }
    }
    return found;
}

void transfer_book::acknowledge(std::uint64_t receiver, std::uint64_t sequence,
                                std::uint64_t round) {
    const auto transfers = outgoing_.find(receiver);
    if (transfers == outgoing_.end()) {
        return;
    }
    const auto found = transfers->second.find(sequence);
    if (found == transfers->second.end()) {
        return;
    }
    if (round > round_) {
        late_.push_back({found->second.content.client_account, found->second.content.given, round});
    }
    transfers->second.erase(found);
    if (transfers->second.empty()) {
        outgoing_.erase(transfers);
    }
}

transfer_verdict transfer_book::judge(std::uint64_t giver, std::uint64_t sequence,
                                      std::uint64_t round) {
    if (dead_.count(giver) != 0) {
        return transfer_verdict::refused;
    }
    if (round > round_) {
        return transfer_verdict::too_early;
    }
    applied& known = applied_[giver];
    if (sequence < known.next || known.beyond.count(sequence) != 0) {
        return transfer_verdict::duplicate;
    }
    known.beyond.insert(sequence);
    while (known.beyond.erase(known.next) != 0) {
        ++known.next;
    }
    return transfer_verdict::apply;
}

std::map<std::string, share> transfer_book::join(std::uint64_t round,
                                                 const std::set<std::uint64_t>& dead) {
    CAMPHOR_PRECONDITION(round > round_);
    round_ = round;
    dead_.insert(dead.begin(), dead.end());
    for (const std::uint64_t each : dead) {
        outgoing_.erase(each);
    }
    std::map<std::string, share> still_mine;
    for (const auto& [receiver, transfers] : outgoing_) {
        for (const auto& [sequence, each] : transfers) {
            add(still_mine[each.content.client_account], each.content.given);
        }
    }
    for (const late& each : late_) {
        if (each.round >= round) {
            add(still_mine[each.client_account], each.given);
        }
    }
    std::erase_if(late_, [&](const late& each) { return each.round <= round; });
    return still_mine;
}

void transfer_book::forget(std::uint64_t generation) {
    outgoing_.erase(generation);
    applied_.erase(generation);
    next_sequence_.erase(generation);
    dead_.erase(generation);
}

} // namespace camphorgrade::limits
