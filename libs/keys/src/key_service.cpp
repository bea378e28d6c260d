#include <keys/key_service.h>

#include "key_buckets.h"

#include <config/watcher_choice.h>

#include <algorithm>

namespace camphorgrade::keys {
namespace {

constexpr token tick_timer = 1;
constexpr token record_tag = 1;
constexpr token withdrawn_tag = 2;
constexpr token write_tag = 3;
constexpr token tag_bits = 4;
constexpr std::size_t most_writes = 64; // withdrawals in one transaction
constexpr std::string_view topic = "keys";

kv_range whole(std::string_view prefix) {
    return {std::string(prefix), kv_prefix_end(std::string(prefix))};
}

} // namespace

key_service::key_service(key_service_options options, const config::peer_view& peers)
    : options_(std::move(options)), peers_(&peers),
      record_follower_("keys", record_tag, whole(key_prefix), options_.store),
      withdrawn_follower_("keys", withdrawn_tag, whole(withdrawn_prefix), options_.store) {}

void key_service::start(step& now) {
    started_ = now.time();
    on_timer(tick_timer, now);
}

void key_service::on_timer(token /*id*/, step& now) {
    follow_store(now);
    gossip(now);
    flush(now);
    now.emit(set_timer{std::string(name()), tick_timer, now.time() + options_.tick});
}

void key_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
    wire::key_news news;
    if (record_follower_.owns(id)) {
        for (const kv_entry& entry : record_follower_.on_reply(id, reply, now)) {
            if (learn_record(entry)) {
                news.add_records()->ParseFromString(entry.value);
            }
        }
    } else if (withdrawn_follower_.owns(id)) {
        for (const kv_entry& entry : withdrawn_follower_.on_reply(id, reply, now)) {
            if (learn_withdrawn(entry)) {
                news.add_withdrawn(entry.key.substr(withdrawn_prefix.size()));
            }
        }
    } else if (write_ == id) {
        write_.reset();
        next_write_ = now.time() + options_.store.retry;
    }
    if (watcher_) {
        push(news, now);
    }
    follow_store(now);
}

void key_service::on_message(const message& received, step& now) {
    wire::key_gossip content;
    if (!content.ParseFromString(received.payload)) {
        ++malformed_;
        return;
    }
    switch (content.kind_case()) {
    case wire::key_gossip::kDigest:
        on_digest(content, received.from, now);
        break;
    case wire::key_gossip::kSummary:
        on_summary(content, received.from, now);
        break;
    case wire::key_gossip::kNews:
        take_news(content.news());
        break;
    case wire::key_gossip::KIND_NOT_SET:
        break;
    }
}

key_merge key_service::withdraw(std::string_view id, step& now) {
    const key_merge merged = book_.withdraw(id);
    const bool held = merged == key_merge::added || merged == key_merge::known;
    if (held && !stored_.contains(id)) {
        accepted_.emplace(id);
        wire::key_news news;
        news.add_withdrawn(std::string(id));
        push(news, now);
        flush(now);
    }
    return merged;
}

std::vector<std::string> key_service::withdrawals_since(std::uint64_t position,
                                                        std::size_t limit) const {
    const auto& all = book_.withdrawals();
    const std::size_t from = std::min<std::uint64_t>(position, all.size());
    const std::size_t count = std::min(limit, all.size() - from);
    const auto begin = all.begin() + static_cast<std::ptrdiff_t>(from);
    return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

void key_service::merge_withdrawals(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
        malformed_ += book_.withdraw(id) == key_merge::malformed ? 1U : 0U;
    }
}

key_status key_service::status() const {
    const bool knows_store = watcher_ && withdrawn_follower_.has_read();
    const std::size_t unwritten =
        knows_store ? book_.withdrawn_ids().size() - stored_.size() : accepted_.size();
    return {book_.records().size(),
            book_.withdrawn_ids().size(),
            unwritten,
            malformed_,
            watcher_,
            record_follower_.calls() + withdrawn_follower_.calls() + writes_};
}

void key_service::follow_store(step& now) {
    const std::vector<config::peer> peers = peers_->live_peers();
    watcher_ = peers.empty() ? now.time() - started_ >= options_.watch_grace
                             : config::is_watcher({now.self(), options_.data_centre}, topic, peers);
    record_follower_.tick(watcher_, now);
    withdrawn_follower_.tick(watcher_, now);
}

void key_service::gossip(step& now) {
    if (now.time() < next_gossip_) {
        return;
    }
    const auto period = static_cast<std::uint64_t>(options_.gossip_period.count());
    const auto jitter = static_cast<duration::rep>(now.random().below(period / 4 + 1));
    next_gossip_ = now.time() + options_.gossip_period - duration{jitter};
    std::vector<config::peer> peers = peers_->live_peers();
    std::erase_if(peers, [&](const config::peer& each) { return each.node == now.self(); });
    constexpr std::uint64_t anywhere_one_in = 4;
    if (now.random().below(anywhere_one_in) != 0) {
        std::erase_if(peers, [&](const config::peer& each) {
            return each.data_centre != options_.data_centre;
        });
    }
    if (peers.empty()) {
        return;
    }
    wire::key_gossip content;
    content.mutable_digest()->set_records(book_.record_digest().mix);
    content.mutable_digest()->set_withdrawn(book_.withdrawn_digest().mix);
    transmit(peers[now.random().below(peers.size())].node, content, now);
}

/** Writes withdrawals that the store lacks: those ordered here, and, when watching, all. */
void key_service::flush(step& now) {
    if (write_ || now.time() < next_write_) {
        return;
    }
    kv_txn txn;
    const auto add = [&](const key_id_text& id) {
        if (txn.success.size() < most_writes && !stored_.contains(id)) {
            txn.success.emplace_back(kv_put{std::string(withdrawn_prefix) + id, "", 0});
        }
    };
    const bool all =
        watcher_ && withdrawn_follower_.has_read() && stored_.size() < book_.withdrawn_ids().size();
    if (all) {
        std::for_each(book_.withdrawn_ids().begin(), book_.withdrawn_ids().end(), add);
    } else {
        std::for_each(accepted_.begin(), accepted_.end(), add);
    }
    if (txn.success.empty()) {
        return;
    }
    write_ = next_call_++ << tag_bits | write_tag;
    ++writes_;
    now.emit(call_kv{std::string(name()), *write_, std::move(txn)});
    if (!watcher_) {
        withdrawn_follower_.read_soon(now); // to see what was written
    }
}

bool key_service::learn_record(const kv_entry& entry) {
    const auto record = decode_key_record(entry.value);
    const bool own_key = record && entry.key == std::string(key_prefix) + record->id;
    const key_merge merged = own_key ? book_.add(*record) : key_merge::malformed;
    malformed_ += merged == key_merge::malformed ? 1U : 0U;
    return merged == key_merge::added;
}

bool key_service::learn_withdrawn(const kv_entry& entry) {
    const std::string id = entry.key.substr(withdrawn_prefix.size());
    const key_merge merged = book_.withdraw(id);
    malformed_ += merged == key_merge::malformed ? 1U : 0U;
    if (merged == key_merge::added || merged == key_merge::known) {
        stored_.insert(id);
        accepted_.erase(id);
    }
    return merged == key_merge::added;
}

void key_service::take_news(const wire::key_news& news) {
    for (const std::string& id : news.withdrawn()) {
        malformed_ += book_.withdraw(id) == key_merge::malformed ? 1U : 0U;
    }
    for (const wire::key_record& each : news.records()) {
        const auto record = decode_key_record(each.SerializeAsString());
        const key_merge merged = record ? book_.add(*record) : key_merge::malformed;
        malformed_ += merged == key_merge::malformed ? 1U : 0U;
    }
}

void key_service::on_digest(const wire::key_gossip& content, const node_id& from, step& now) {
    if (content.digest().records() == book_.record_digest().mix &&
        content.digest().withdrawn() == book_.withdrawn_digest().mix) {
        return;
    }
    wire::key_gossip answer;
    *answer.mutable_summary() = summarise(book_);
    transmit(from, answer, now);
}

void key_service::on_summary(const wire::key_gossip& content, const node_id& from, step& now) {
    wire::key_gossip answer;
    *answer.mutable_news() = news_for(book_, content.summary(), now.random().next());
    if (answer.news().records_size() + answer.news().withdrawn_size() > 0) {
        transmit(from, answer, now);
    }
    if (!content.summary().answer()) {
        *answer.mutable_summary() = summarise(book_);
        answer.mutable_summary()->set_answer(true);
        transmit(from, answer, now);
    }
}

void key_service::push(const wire::key_news& news, step& now) {
    if (news.records_size() + news.withdrawn_size() == 0) {
        return;
    }
    wire::key_gossip content;
    *content.mutable_news() = news;
    for (const config::peer& each : peers_->live_peers()) {
        if (each.data_centre == options_.data_centre && each.node != now.self()) {
            transmit(each.node, content, now);
        }
    }
}

void key_service::transmit(const node_id& to, const wire::key_gossip& content, step& now) {
    now.send(to, std::string(name()), content.SerializeAsString());
}

} // namespace camphorgrade::keys
