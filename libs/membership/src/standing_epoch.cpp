#include <membership/standing_service.h>

#include <algorithm>
#include <utility>

/** @file The part of standing_service that follows, proves and writes epochs. */
namespace camphorgrade::membership {

namespace leaf = boost::leaf;

namespace {

constexpr token call_read = 1;
constexpr token call_write = 2;

} // namespace

void standing_service::adopt(const epoch_record& record, step& now) {
    const std::uint64_t version_before = this->record().witness_version;
    if (!witness_.adopt(record, now.time())) {
        return;
    }
    if (record.witness_version != version_before) {
        fresh_.set_witness_count(record.witnesses.size());
        sealed_since_.clear();
        settled_since_.reset();
        witnesses_since_ = now.time();
    }
    const auto not_member = [&](std::uint64_t each) {
        return record.find_generation(each) == nullptr;
    };
    std::erase_if(dead_, not_member);
    std::erase_if(abandoned_, not_member);
    left_ = record.find_address(self_.address) == nullptr;
    const bool witness = witness_.is_witness();
    membership_->set_watching(witness, now);
    take_generation(now);
    for (standing_listener* each : listeners_) {
        each->on_epoch_changed(now);
    }
    probe_witnesses(now);
}

void standing_service::take_generation(step& now) {
    const epoch_member* mine = record().find_address(self_.address);
    const bool valid = mine != nullptr && mine->who.life == self_.life && !leaving_ &&
                       abandoned_.count(mine->generation) == 0;
    const std::uint64_t generation = valid ? mine->generation : 0;
    if (generation == generation_) {
        return;
    }
    if (generation_ != 0) {
        abandoned_.insert(generation_);
    }
    fresh_.drop();
    generation_ = generation;
    for (standing_listener* each : listeners_) {
        each->on_epoch_changed(now);
    }
}

bool standing_service::witnesses_settled() const {
    const std::vector<node_life>& previous = record().previous_witnesses;
    if (previous.empty()) {
        return true;
    }
    const auto knows = [&](const node_life& each) {
        const auto found = peers_.find(each.address);
        if (found == peers_.end()) {
            return false;
        }
        const peer& known = found->second;
        return known.life > each.life ||
               (known.life == each.life && known.witness_version >= record().witness_version);
    };
    const auto count = std::count_if(previous.begin(), previous.end(), knows);
    return static_cast<std::size_t>(count) >= majority(previous.size());
}

std::size_t standing_service::count_witnesses_that_seal(std::uint64_t generation) const {
    const auto seals = [&](const node_life& each) {
        const auto found = peers_.find(each.address);
        return found != peers_.end() && found->second.life == each.life &&
               found->second.sealed.count(generation) != 0;
    };
    const std::vector<node_life>& all = record().witnesses;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), seals));
}

bool standing_service::majority_finds_silent(std::uint64_t generation) const {
    const auto silent = [&](const node_life& each) {
        const auto found = peers_.find(each.address);
        return found != peers_.end() && found->second.life == each.life &&
               found->second.silent.count(generation) != 0;
    };
    const std::vector<node_life>& all = record().witnesses;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), silent)) >=
           majority(all.size());
}

void standing_service::update_dead(time_point now) {
    if (!settled_since_ && record().number != 0 && witnesses_settled()) {
        settled_since_ = now;
    }
    for (const epoch_member& each : record().members) {
        if (count_witnesses_that_seal(each.generation) >= majority(record().witnesses.size())) {
            sealed_since_.try_emplace(each.generation, now);
        }
    }
    if (!settled_since_) {
        return;
    }
    for (const auto& [generation, since] : sealed_since_) {
        const duration held = now - std::max(since, *settled_since_);
        if (held > options_.validity + options_.margin && generation != generation_) {
            dead_.insert(generation);
        }
    }
}

std::vector<std::uint64_t> standing_service::to_seal() const {
    std::vector<std::uint64_t> found;
    if (!leads()) {
        return found;
    }
    for (const epoch_member& each : record().members) {
        if (each.generation != generation_ && majority_finds_silent(each.generation)) {
            found.push_back(each.generation);
        }
    }
    return found;
}

bool standing_service::leads() const {
    for (const epoch_member& each : record().members) {
        if (dead_.count(each.generation) == 0 && !majority_finds_silent(each.generation)) {
            return generation_ != 0 && each.generation == generation_;
        }
    }
    return false;
}

std::set<node_id> standing_service::lost_witnesses(time_point now) const {
    std::set<node_id> lost;
    for (const node_life& each : record().witnesses) {
        const auto found = peers_.find(each.address);
        time_point last = witnesses_since_;
        if (found != peers_.end() && found->second.answered_at) {
            last = std::max(last, *found->second.answered_at);
        }
        if (now - last > options_.lost_after) {
            lost.insert(each.address);
        }
    }
    return lost;
}

bool standing_service::hears_witness(time_point now) const {
    const std::vector<node_life>& all = record().witnesses;
    return std::any_of(all.begin(), all.end(), [&](const node_life& each) {
        const auto found = peers_.find(each.address);
        return found != peers_.end() && found->second.life == each.life &&
               found->second.answered_at && now - *found->second.answered_at <= options_.fed_for;
    });
}

bool standing_service::majority_ready() const {
    const auto ready = [&](const node_life& each) {
        const auto found = peers_.find(each.address);
        return found != peers_.end() && found->second.life == each.life &&
               found->second.ready_version == record().witness_version;
    };
    const std::vector<node_life>& all = record().witnesses;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), ready)) >=
           majority(all.size());
}

epoch_intent standing_service::intent(time_point now) const {
    if (leaving_) {
        return epoch_intent::leave;
    }
    if (generation_ == 0) {
        return epoch_intent::join;
    }
    const bool sealed = count_witnesses_that_seal(generation_) > 0;
    return sealed && !fresh_.holds(now) ? epoch_intent::join : epoch_intent::stay;
}

epoch_view standing_service::view(time_point now) const {
    epoch_view seen;
    seen.self = {self_.address, self_.life};
    seen.intent = intent(now);
    seen.dead = dead_;
    seen.leads = leads();
    seen.may_change_witnesses = witnesses_settled() && majority_ready();
    seen.lost_witnesses = lost_witnesses(now);
    seen.record_removed = record_removed_;
    seen.nodes = membership_->nodes();
    seen.most_witnesses = options_.most_witnesses;
    if (seen.intent == epoch_intent::stay && !fresh_.holds(now) &&
        needs_fresh_start(record(), seen)) {
        seen.intent = epoch_intent::join;
    }
    return seen;
}

void standing_service::consider_epoch(step& now) {
    if (self_.role != node_role::gateway || store_busy_ || membership_->revision() == 0) {
        return;
    }
    const bool cut_off = generation_ == 0 || !fresh_.holds(now.time());
    const bool due = !read_at_ || now.time() - *read_at_ >= options_.record_period;
    if ((cut_off && due && !left()) || plan_next_epoch(record(), view(now.time()))) {
        read_epoch(now);
    }
}

void standing_service::read_epoch(step& now) {
    store_busy_ = true;
    read_at_ = now.time();
    ++store_calls_;
    now.emit(call_kv{std::string(name()), call_read, kv_range{epoch_key, ""}});
}

void standing_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
    store_busy_ = false;
    if (id == call_read) {
        if (const auto* result = std::get_if<kv_range_result>(&reply)) {
            on_epoch_read(*result, now);
        }
        return;
    }
    // Lost or refused: the next plan begins by reading what the store holds.
    const auto* result = std::get_if<kv_txn_result>(&reply);
    if (id == call_write && result != nullptr && result->succeeded) {
        adopt(*std::exchange(pending_, std::nullopt), now);
    }
}

void standing_service::on_epoch_read(const kv_range_result& result, step& now) {
    std::int64_t stored_at = 0;
    const bool removed = result.entries.empty() && record().number != 0;
    record_removed_ = removed && !fresh_.holds(now.time());
    if (!result.entries.empty()) {
        stored_at = result.entries.front().mod_revision;
        const bool readable = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(stored, decode_epoch(result.entries.front().value));
                adopt(stored, now);
                return stored.number == record().number;
            },
            [] { return false; });
        if (!readable) {
            return;
        }
    } else if (removed && !record_removed_) {
        return; // whoever has standing does not begin anew
    }
    if (auto next = plan_next_epoch(record(), view(now.time()))) {
        write_epoch(std::move(*next), stored_at, now);
    }
}

void standing_service::write_epoch(epoch_record next, std::int64_t stored_at, step& now) {
    next.write_id = self_.address.value() + "/" + std::to_string(self_.life.value()) + "/" +
                    std::to_string(++writes_);
    const epoch_member* mine = next.find_address(self_.address);
    if (generation_ != 0 && (mine == nullptr || mine->generation != generation_)) {
        // Once the write is out, others may take these shares back at any moment.
        abandoned_.insert(generation_);
        take_generation(now);
    }
    kv_txn write;
    write.compares.push_back({epoch_key, stored_at});
    write.success.emplace_back(kv_put{epoch_key, encode(next), 0});
    store_busy_ = true;
    ++store_calls_;
    pending_ = std::move(next);
    now.emit(call_kv{std::string(name()), call_write, std::move(write)});
}

} // namespace camphorgrade::membership
