#include <limits/share_audit.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::limits {

namespace {

constexpr unsigned rank_bits = 16;
constexpr unsigned count_bits = 24;
constexpr unsigned epoch_bits = 24;

constexpr std::uint64_t mask(unsigned bits) {
    return (std::uint64_t{1} << bits) - 1;
}

} // namespace

share_audit::share_audit(std::uint64_t round, std::set<std::uint64_t> members)
    : round_(round), missing_(std::move(members)) {}

void share_audit::report(std::uint64_t member, const audit_holdings& held) {
    if (missing_.erase(member) == 0) {
        return;
    }
    for (const auto& [account, part] : held) {
        share& sum = held_[account];
        sum.rate_parts += part.rate_parts;
        sum.burst_parts += part.burst_parts;
    }
}

share share_audit::unheld(const std::string& client_account) const {
    CAMPHOR_PRECONDITION(complete());
    const auto found = held_.find(client_account);
    if (found == held_.end()) {
        return {whole, whole, 0};
    }
    return {std::max<parts>(whole - found->second.rate_parts, 0),
            std::max<parts>(whole - found->second.burst_parts, 0), 0};
}

std::uint64_t audit_round(std::uint64_t epoch, std::uint64_t count, std::uint64_t rank) {
    CAMPHOR_PRECONDITION(epoch <= mask(epoch_bits) && rank <= mask(rank_bits));
    return (epoch << (count_bits + rank_bits)) | ((count & mask(count_bits)) << rank_bits) | rank;
}

std::uint64_t count_of_round(std::uint64_t round) {
    return (round >> rank_bits) & mask(count_bits);
}

} // namespace camphorgrade::limits
