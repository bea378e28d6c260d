#include <node/key_withdrawals.h>

namespace camphorgrade {

std::uint64_t key_withdrawals::size() const {
    return service_ == nullptr ? 0 : service_->withdrawal_count();
}

std::uint64_t key_withdrawals::digest() const {
    return service_ == nullptr ? 0 : service_->withdrawn_digest();
}

std::vector<std::string> key_withdrawals::since(std::uint64_t position, std::size_t limit) const {
    return service_ == nullptr ? std::vector<std::string>{}
                               : service_->withdrawals_since(position, limit);
}

void key_withdrawals::merge(const std::vector<std::string>& items, time_point /*now*/) {
    if (service_ != nullptr) {
        service_->merge_withdrawals(items);
    }
}

} // namespace camphorgrade
