#include <membership/witness_state.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::membership {

namespace {

bool holds(const std::vector<node_life>& lives, const node_life& wanted) {
    return std::find(lives.begin(), lives.end(), wanted) != lives.end();
}

} // namespace

witness_state::witness_state(node_life self, duration silent_after)
    : self_(std::move(self)), silent_after_(silent_after) {}

bool witness_state::adopt(const epoch_record& record, time_point now) {
    if (record.number <= record_.number) {
        return false;
    }
    std::map<std::uint64_t, time_point> heard;
    std::set<std::uint64_t> sealed;
    for (const epoch_member& each : record.members) {
        const auto before = heard_.find(each.generation);
        heard[each.generation] = before == heard_.end() ? now : before->second;
        if (is_sealed(each.generation)) {
            sealed.insert(each.generation);
        }
    }
    const bool same_set = record.witness_version == record_.witness_version;
    const bool follows = record.witness_version == ready_version_ + 1 &&
                         holds(record.previous_witnesses, self_) && ready();
    record_ = record;
    heard_ = std::move(heard);
    sealed_ = std::move(sealed);
    if (!same_set) {
        pulled_.clear();
    }
    if (is_witness() && record_.previous_witnesses.empty()) {
        ready_version_ = record_.witness_version;
    }
    if (follows) {
        // Its own facts count as one pull: alone it may lack what the others accepted.
        pulled_from(self_.address);
    }
    return true;
}

void witness_state::hear(std::uint64_t generation, time_point now) {
    const auto found = heard_.find(generation);
    if (found != heard_.end()) {
        found->second = now;
    }
}

void witness_state::seal_if_silent(std::uint64_t generation, time_point now) {
    const auto found = heard_.find(generation);
    if (found != heard_.end() && now - found->second > silent_after_) {
        sealed_.insert(generation);
    }
}

void witness_state::merge_seals(const std::vector<std::uint64_t>& generations) {
    for (const std::uint64_t each : generations) {
        if (record_.find_generation(each) != nullptr) {
            sealed_.insert(each);
        }
    }
}

std::vector<std::uint64_t> witness_state::silent(time_point now) const {
    std::vector<std::uint64_t> found;
    for (const auto& [generation, at] : heard_) {
        if (now - at > silent_after_) {
            found.push_back(generation);
        }
    }
    return found;
}

bool witness_state::is_witness() const {
    return holds(record_.witnesses, self_);
}

void witness_state::pulled_from(const node_id& previous_witness) {
    if (!is_witness()) {
        return;
    }
    pulled_.insert(previous_witness);
    if (pulled_.size() >= majority(record_.previous_witnesses.size())) {
        ready_version_ = record_.witness_version;
    }
}

bool witness_state::vouches(std::uint64_t epoch, std::uint64_t generation) const {
    return ready() && epoch == record_.number && !is_sealed(generation) &&
           record_.find_generation(generation) != nullptr;
}

} // namespace camphorgrade::membership
