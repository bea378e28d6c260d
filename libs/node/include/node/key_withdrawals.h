#pragma once

#include <keys/key_service.h>
#include <membership/withdrawal_log.h>

#include <string>
#include <vector>

namespace camphorgrade {

/** Lets withdrawals of keys travel with the probes of standing. Not thread safe. */
class key_withdrawals final : public membership::withdrawal_log {
public:
    /** The service outlives it. Until attached, the log is empty. */
    void attach(keys::key_service& service) { service_ = &service; }

    std::uint64_t size() const override;
    std::uint64_t digest() const override;
    std::vector<std::string> since(std::uint64_t position, std::size_t limit) const override;
    void merge(const std::vector<std::string>& items, time_point now) override;

private:
    keys::key_service* service_ = nullptr;
};

} // namespace camphorgrade
