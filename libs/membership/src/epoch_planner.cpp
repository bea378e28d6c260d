#include <membership/epoch_planner.h>

#include <algorithm>
#include <map>

namespace camphorgrade::membership {

namespace {

constexpr std::size_t enough_agents = 3;

node_life life_of(const node_info& node) {
    return {node.address, node.life};
}

/** Processes that may be witnesses, in address order. */
std::vector<node_info> candidates(const epoch_view& view) {
    std::vector<node_info> agents;
    std::vector<node_info> all;
    for (const node_info& each : view.nodes) {
        if (each.state != node_state::active || view.lost_witnesses.count(each.address) != 0) {
            continue;
        }
        all.push_back(each);
        if (each.role == node_role::agent) {
            agents.push_back(each);
        }
    }
    return agents.size() >= enough_agents ? agents : all;
}

bool is_agent(const node_info& node) {
    return node.role == node_role::agent;
}

const node_info* find_node(const std::vector<node_info>& nodes, const node_id& address) {
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&](const node_info& each) { return each.address == address; });
    return found == nodes.end() ? nullptr : &*found;
}

/** Whether a witness stays one. Its registration may have lapsed in an outage: that is no fault. */
bool may_stay(const node_life& witness, const node_info* listed, bool agents_only,
              const epoch_view& view) {
    if (view.lost_witnesses.count(witness.address) != 0) {
        return false;
    }
    return listed == nullptr ||
           (listed->life == witness.life && listed->state == node_state::active &&
            (!agents_only || is_agent(*listed)));
}

/** Whether a majority of the witnesses has provably ended: other lives run at their addresses. */
bool witnesses_replaced(const epoch_record& current, const epoch_view& view) {
    const auto ended = std::count_if(
        current.witnesses.begin(), current.witnesses.end(), [&](const node_life& each) {
            const node_info* listed = find_node(view.nodes, each.address);
            return listed != nullptr && listed->life > each.life;
        });
    return static_cast<std::size_t>(ended) >= majority(current.witnesses.size());
}

/** Moves to `chosen` the candidate whose data centre has the fewest witnesses so far. */
void take_one(std::vector<node_info>& rest, std::vector<node_life>& chosen,
              std::map<std::string, std::size_t>& in_data_centre) {
    const auto best = std::min_element(
        rest.begin(), rest.end(), [&](const node_info& left, const node_info& right) {
            return in_data_centre[left.data_centre] < in_data_centre[right.data_centre];
        });
    ++in_data_centre[best->data_centre];
    chosen.push_back(life_of(*best));
    rest.erase(best);
}

bool joins(const epoch_record& current, const epoch_view& view) {
    if (view.intent != epoch_intent::join) {
        return false;
    }
    const epoch_member* mine = current.find_address(view.self.address);
    return mine == nullptr || mine->who.life <= view.self.life;
}

void remove_members(epoch_record& next, const epoch_view& view, bool self_too) {
    const auto goes = [&](const epoch_member& each) {
        return (self_too && each.who.address == view.self.address) ||
               (view.leads && view.dead.count(each.generation) != 0);
    };
    next.members.erase(std::remove_if(next.members.begin(), next.members.end(), goes),
                       next.members.end());
}

void change_witnesses(epoch_record& next, const epoch_view& view) {
    std::vector<node_life> wanted = choose_witnesses(next.witnesses, view);
    if (wanted.empty() || wanted == next.witnesses) {
        return;
    }
    next.previous_witnesses = std::move(next.witnesses);
    next.witnesses = std::move(wanted);
    ++next.witness_version;
}

} // namespace

std::vector<node_life> choose_witnesses(const std::vector<node_life>& current,
                                        const epoch_view& view) {
    std::vector<node_info> rest = candidates(view);
    const bool agents_only = !rest.empty() && std::all_of(rest.begin(), rest.end(), is_agent);
    std::vector<node_life> chosen;
    std::map<std::string, std::size_t> in_data_centre;
    for (const node_life& each : current) {
        const node_info* listed = find_node(view.nodes, each.address);
        if (chosen.size() == view.most_witnesses || !may_stay(each, listed, agents_only, view)) {
            continue;
        }
        chosen.push_back(each);
        if (listed != nullptr) {
            ++in_data_centre[listed->data_centre];
        }
        rest.erase(
            std::remove_if(rest.begin(), rest.end(),
                           [&](const node_info& node) { return node.address == each.address; }),
            rest.end());
    }
    const std::size_t available = std::min(chosen.size() + rest.size(), view.most_witnesses);
    const std::size_t wanted = available == 0 ? 0 : available - (available + 1) % 2;
    while (chosen.size() < wanted) {
        take_one(rest, chosen, in_data_centre);
    }
    chosen.resize(wanted);
    return chosen;
}

bool needs_fresh_start(const epoch_record& current, const epoch_view& view) {
    return current.number != 0 && (view.record_removed || witnesses_replaced(current, view));
}

std::optional<epoch_record> plan_next_epoch(const epoch_record& current, const epoch_view& view) {
    epoch_record next = current;
    if (view.intent == epoch_intent::join && needs_fresh_start(current, view)) {
        next.members.clear();
        next.witnesses.clear();
        change_witnesses(next, view);
    }
    const bool joining = joins(current, view);
    const bool leaving = view.intent == epoch_intent::leave;
    remove_members(next, view, joining || leaving);
    if (joining) {
        next.members.push_back({view.self, current.number + 1});
    }
    const bool first = current.number == 0;
    if (first ? joining : view.leads && view.may_change_witnesses) {
        change_witnesses(next, view);
    }
    if (next == current) {
        return std::nullopt;
    }
    next.number = current.number + 1;
    return next;
}

} // namespace camphorgrade::membership
