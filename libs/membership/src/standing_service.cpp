#include <membership/standing_service.h>

#include <kernel/micro_kernel.h>
#include <wire/membership.pb.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::membership {

namespace {

constexpr token timer_probe = 1;
constexpr std::size_t most_withdrawals = 500; // in one message
constexpr std::size_t most_unanswered = 256;  // probes remembered
constexpr int first_probe_spread = 8;

template <typename Entries>
std::set<std::uint64_t> to_set(const Entries& entries) {
    return {entries.begin(), entries.end()};
}

std::vector<std::string> to_items(const google::protobuf::RepeatedPtrField<std::string>& entries) {
    return {entries.begin(), entries.end()};
}

} // namespace

standing_service::standing_service(const node_info& self, standing_options options)
    : self_(self), options_(options), witness_({self.address, self.life}, options.silent_after),
      fresh_(options.validity) {}

standing_service::~standing_service() = default;

void standing_service::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership_service>("membership");
}

void standing_service::start(step& now) {
    const std::uint64_t spread =
        static_cast<std::uint64_t>(options_.probe_period.count()) / first_probe_spread + 1;
    const auto first = static_cast<duration::rep>(now.random().below(spread));
    now.emit(set_timer{std::string(name()), timer_probe, now.time() + duration{first}});
}

void standing_service::on_message(const message& received, step& now) {
    wire::membership_message content;
    if (!content.ParseFromString(received.payload)) {
        return;
    }
    if (received.from_incarnation < peers_[received.from].life) {
        return; // a former life; its messages were under way
    }
    if (content.has_ask()) {
        on_probe(content.ask(), received, now);
    } else if (content.has_answer()) {
        on_answer(content.answer(), received, now);
    }
}

void standing_service::on_timer(token /*id*/, step& now) {
    const bool slow =
        self_.role == node_role::agent && (!witness_.is_witness() || witness_.ready());
    const duration period = slow ? options_.agent_period : options_.probe_period;
    now.emit(set_timer{std::string(name()), timer_probe, now.time() + period});
    update_dead(now.time());
    membership_->set_fed(hears_witness(now.time()));
    probe_witnesses(now);
    consider_epoch(now);
}

bool standing_service::has_standing(time_point now) const {
    return generation_ != 0 && fresh_.holds(now);
}

bool standing_service::accepts(std::uint64_t epoch, const node_id& gateway,
                               incarnation life) const {
    if (epoch > record().number) {
        return true; // this node is behind; the gateway's own standing covers it
    }
    const epoch_member* member = record().find_address(gateway);
    return member != nullptr && member->who.life == life && member->generation <= epoch &&
           !witness_.is_sealed(member->generation);
}

bool standing_service::audits(time_point now) const {
    const bool fresh_start = record().previous_witnesses.empty() && record().number > 1;
    if (fresh_start && now - witnesses_since_ <= options_.validity + options_.margin) {
        return false;
    }
    for (const epoch_member& each : record().members) {
        if (dead_.count(each.generation) == 0) {
            return generation_ != 0 && each.generation == generation_;
        }
    }
    return false;
}

std::vector<node_id> standing_service::holders(std::uint64_t position) const {
    std::vector<node_id> found;
    for (const node_life& each : record().witnesses) {
        const auto known = peers_.find(each.address);
        if (known != peers_.end() && known->second.life == each.life &&
            known->second.epoch == record().number && known->second.merged >= position) {
            found.push_back(each.address);
        }
    }
    return found;
}

bool standing_service::held_by_majority(std::uint64_t position) const {
    return witnesses_settled() && holders(position).size() >= majority(record().witnesses.size());
}

void standing_service::probe_now(step& now) {
    probe_witnesses(now);
}

void standing_service::leave(step& now) {
    leaving_ = true;
    take_generation(now);
    consider_epoch(now);
}

void standing_service::on_probe(const wire::probe& asked, const message& received, step& now) {
    peer& asker = peer_of(received);
    const epoch_member* member = record().find_generation(asked.generation());
    const node_life who{received.from, received.from_incarnation};
    const bool genuine = member != nullptr && member->who == who;
    if (genuine) {
        witness_.hear(asked.generation(), now.time());
    }
    for (const std::uint64_t each : asked.seal()) {
        witness_.seal_if_silent(each, now.time());
    }
    if (log_ != nullptr && asked.pushed_from() <= asker.pushed && asked.withdrawals_size() > 0) {
        log_->merge(to_items(asked.withdrawals()), now.time());
        const auto count = static_cast<std::uint64_t>(asked.withdrawals_size());
        asker.pushed = std::max(asker.pushed, asked.pushed_from() + count);
    }
    hear_configuration(asked.configuration_revision(), received.from, now);
    const bool behind = asked.epoch() > record().number;
    wire::membership_message reply;
    fill_answer(asked, received.from, *reply.mutable_answer(), now);
    if (!genuine) {
        reply.mutable_answer()->set_granted(false);
    }
    transmit(received.from, reply.SerializeAsString(), now);
    if (behind) {
        probe(received.from, now);
    }
}

void standing_service::fill_answer(const wire::probe& asked, const node_id& asker,
                                   wire::probe_answer& answer, step& now) {
    answer.set_id(asked.id());
    answer.set_epoch(record().number);
    answer.set_witness_version(record().witness_version);
    answer.set_ready_version(witness_.ready_version());
    if (asked.epoch() < record().number) {
        to_wire(record(), *answer.mutable_record());
    }
    for (const std::uint64_t each : witness_.sealed()) {
        answer.add_sealed(each);
    }
    for (const std::uint64_t each : witness_.silent(now.time())) {
        answer.add_silent(each);
    }
    const bool complete = fill_withdrawals(asked, answer);
    if (answer.merged() == 0) {
        answer.set_merged(peers_[asker].pushed);
    }
    if (asked.nodes_revision() < membership_->revision()) {
        answer.set_nodes_revision(membership_->revision());
        for (const node_info& each : membership_->nodes()) {
            to_wire(each, *answer.add_nodes());
        }
    }
    answer.set_configuration_revision(configuration_revision_);
    answer.set_complete(complete);
    answer.set_granted(complete && witness_.vouches(asked.epoch(), asked.generation()));
}

bool standing_service::fill_withdrawals(const wire::probe& asked,
                                        wire::probe_answer& answer) const {
    if (log_ == nullptr) {
        return true;
    }
    answer.set_digest(log_->digest());
    if (asked.digest() == log_->digest()) {
        answer.set_cursor(log_->size());
        answer.set_merged(asked.log_size());
        return true;
    }
    for (const std::string& each : log_->since(asked.cursor(), most_withdrawals)) {
        answer.add_withdrawals(each);
    }
    answer.set_cursor(asked.cursor() + static_cast<std::uint64_t>(answer.withdrawals_size()));
    return answer.cursor() >= log_->size();
}

void standing_service::on_answer(const wire::probe_answer& answer, const message& received,
                                 step& now) {
    const auto found = sent_.find(answer.id());
    if (found == sent_.end() || found->second.to != received.from) {
        return;
    }
    const sent_probe sent = found->second;
    sent_.erase(found);
    peer& from = peer_of(received);
    from.answered_at = now.time();
    learn(from, answer, now);
    // Withdrawals and seals above are in force before what this answer grants.
    if (answer.granted() && answer.witness_version() == record().witness_version) {
        count_grant(sent, {received.from, received.from_incarnation});
    }
    if (answer.complete() && answer.witness_version() == record().witness_version &&
        answer.ready_version() + 1 >= record().witness_version) {
        count_pull({received.from, received.from_incarnation});
    }
    hear_configuration(answer.configuration_revision(), received.from, now);
    update_dead(now.time());
}

void standing_service::learn(peer& from, const wire::probe_answer& answer, step& now) {
    if (log_ != nullptr) {
        const std::uint64_t held_before = from.merged;
        log_->merge(to_items(answer.withdrawals()), now.time());
        from.cursor = std::max(from.cursor, answer.cursor());
        from.merged = std::max(from.merged, answer.merged());
        if (from.merged != held_before) {
            for (standing_listener* each : listeners_) {
                each->on_withdrawals_held(now);
            }
        }
    }
    from.epoch = answer.epoch();
    from.witness_version = answer.witness_version();
    from.ready_version = answer.ready_version();
    from.sealed = to_set(answer.sealed());
    from.silent = to_set(answer.silent());
    if (answer.nodes_size() > 0) {
        std::vector<node_info> nodes;
        for (const wire::node_entry& each : answer.nodes()) {
            nodes.push_back(from_wire(each));
        }
        membership_->merge(answer.nodes_revision(), nodes, now);
    }
    if (answer.has_record()) {
        adopt(from_wire(answer.record()), now);
    }
    if (!witness_.ready()) {
        witness_.merge_seals({answer.sealed().begin(), answer.sealed().end()});
    }
}

standing_service::peer& standing_service::peer_of(const message& received) {
    peer& found = peers_[received.from];
    if (found.life < received.from_incarnation) {
        found = peer{};
        found.life = received.from_incarnation;
    }
    return found;
}

void standing_service::count_grant(const sent_probe& sent, const node_life& witness) {
    const std::vector<node_life>& all = record().witnesses;
    if (generation_ == 0 || sent.generation != generation_ ||
        std::find(all.begin(), all.end(), witness) == all.end()) {
        return;
    }
    fresh_.granted(witness.address, sent.at);
}

void standing_service::count_pull(const node_life& previous_witness) {
    const std::vector<node_life>& all = record().previous_witnesses;
    if (std::find(all.begin(), all.end(), previous_witness) != all.end()) {
        witness_.pulled_from(previous_witness.address);
    }
}

void standing_service::hear_configuration(std::uint64_t revision, const node_id& from, step& now) {
    if (revision <= std::max(configuration_heard_, configuration_revision_)) {
        return;
    }
    configuration_heard_ = revision;
    for (standing_listener* each : listeners_) {
        each->on_configuration_heard(revision, from, now);
    }
}

void standing_service::transmit(const node_id& to, std::string payload, step& now) {
    if (to != self_.address) {
        now.send(to, std::string(name()), std::move(payload));
        return;
    }
    on_message({self_.address, self_.life, to, std::string(name()), std::move(payload)}, now);
}

void standing_service::probe(const node_id& to, step& now) {
    const std::uint64_t id = next_probe_++;
    sent_[id] = {to, now.time(), generation_};
    if (sent_.size() > most_unanswered) {
        sent_.erase(sent_.begin());
    }
    const peer& known = peers_[to];
    wire::membership_message content;
    wire::probe& ask = *content.mutable_ask();
    ask.set_id(id);
    ask.set_epoch(record().number);
    ask.set_generation(generation_);
    ask.set_cursor(known.cursor);
    if (log_ != nullptr) {
        ask.set_digest(log_->digest());
        ask.set_log_size(log_->size());
        ask.set_pushed_from(known.merged);
        if (known.answered_at) {
            for (const std::string& each : log_->since(known.merged, most_withdrawals)) {
                ask.add_withdrawals(each);
            }
        }
    }
    for (const std::uint64_t each : to_seal()) {
        ask.add_seal(each);
    }
    ask.set_nodes_revision(membership_->revision());
    ask.set_configuration_revision(configuration_revision_);
    transmit(to, content.SerializeAsString(), now);
}

void standing_service::probe_witnesses(step& now) {
    std::set<node_id> targets;
    if (self_.role == node_role::gateway) {
        for (const node_life& each : record().witnesses) {
            targets.insert(each.address);
        }
    }
    const bool unsettled = self_.role == node_role::gateway && !witnesses_settled();
    if (unsettled || (witness_.is_witness() && !witness_.ready())) {
        for (const node_life& each : record().previous_witnesses) {
            targets.insert(each.address);
        }
    }
    if (targets.empty() && self_.role == node_role::agent) {
        std::vector<node_id> known;
        for (const node_life& each : record().witnesses) {
            known.push_back(each.address);
        }
        for (const node_info& each : membership_->live_gateways()) {
            if (record().number == 0) {
                known.push_back(each.address);
            }
        }
        if (!known.empty()) {
            targets.insert(known[now.random().below(known.size())]);
        }
    }
    for (const node_id& each : targets) {
        probe(each, now);
    }
}

} // namespace camphorgrade::membership
