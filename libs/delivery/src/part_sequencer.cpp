#include <delivery/part_sequencer.h>

#include <utility>

namespace camphorgrade::delivery {

bool part_sequencer::is_expected(const part_source& from) {
    if (from.agent != source_.agent) {
        return false;
    }
    if (source_.life == incarnation{}) {
        source_.life = from.life;
    }
    return from.life == source_.life;
}

std::vector<part> part_sequencer::accept(const part_source& from, numbered_part arrived) {
    std::vector<part> due;
    if (!is_expected(from) || arrived.sequence < next_) {
        return due;
    }
    if (arrived.sequence > next_) {
        if (held_.size() < max_held) {
            held_.try_emplace(arrived.sequence, std::move(arrived.content));
        }
        return due;
    }
    due.push_back(std::move(arrived.content));
    ++next_;
    held_.erase(arrived.sequence);
    for (auto first = held_.begin(); first != held_.end() && first->first == next_;
         first = held_.begin()) {
        due.push_back(std::move(first->second));
        held_.erase(first);
        ++next_;
    }
    return due;
}

} // namespace camphorgrade::delivery
