#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** Collects what one run of the placement model shows. */
class placement_measures {
public:
    explicit placement_measures(std::size_t accounts) : asked_(accounts), served_(accounts) {}

    void arrived(std::size_t account, std::uint64_t tokens) { asked_[account] += tokens; }
    void started(duration stall) { stalls_ms_.push_back(static_cast<double>(stall.count())); }
    void first_token(duration after) { first_ms_.push_back(static_cast<double>(after.count())); }
    void generated(std::size_t account) { ++served_[account]; }
    void refused() { ++refused_; }
    void lost() { ++lost_; }
    void loaded() { ++loads_; }
    void engine_step(std::size_t tokens, std::size_t seats);

    /** All measures by name; `measured` is the time they were taken over. */
    std::map<std::string, double> summary(duration measured) const;

private:
    double worst_account() const;

    std::vector<double> stalls_ms_;
    std::vector<double> first_ms_;
    std::vector<std::uint64_t> asked_;
    std::vector<std::uint64_t> served_;
    std::uint64_t refused_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t loads_ = 0;
    std::uint64_t step_tokens_ = 0;
    std::uint64_t step_seats_ = 0;
};

} // namespace camphorgrade::experiment
