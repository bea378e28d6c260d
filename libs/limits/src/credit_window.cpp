#include <limits/credit_window.h>

#include <kernel/check.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace camphorgrade::limits {

namespace {

constexpr micro_tokens unseen = std::numeric_limits<micro_tokens>::max();

} // namespace

std::uint64_t credit_window::open() {
    const std::uint64_t admission = next_++;
    ++open_;
    if (!groups_.empty() && std::prev(groups_.end())->second.smallest == unseen) {
        ++std::prev(groups_.end())->second.open;
    } else {
        groups_.emplace(admission, group{unseen, 1});
    }
    return admission;
}

void credit_window::observe(micro_tokens room) {
    CAMPHOR_PRECONDITION(room >= 0);
    const micro_tokens value = room + lowered_;
    while (!groups_.empty()) {
        const auto last = std::prev(groups_.end());
        if (last->second.smallest < value) {
            return;
        }
        last->second.smallest = value;
        if (last == groups_.begin() || std::prev(last)->second.smallest < value) {
            return;
        }
        std::prev(last)->second.open += last->second.open;
        groups_.erase(last);
    }
}

micro_tokens credit_window::close(std::uint64_t admission, micro_tokens unused) {
    CAMPHOR_PRECONDITION(unused >= 0);
    auto found = groups_.upper_bound(admission);
    CAMPHOR_PRECONDITION(found != groups_.begin());
    --found;
    const micro_tokens seen = found->second.smallest;
    const micro_tokens smallest = seen == unseen ? 0 : seen - lowered_;
    --open_;
    if (--found->second.open == 0) {
        groups_.erase(found);
    }
    // As if it had been charged less, the bucket was fuller for all others still open.
    lowered_ = open_ == 0 ? 0 : lowered_ + unused;
    return std::clamp<micro_tokens>(smallest, 0, unused);
}

} // namespace camphorgrade::limits
