#include <config/configuration_service.h>

#include <config/watcher_choice.h>

#include <wire/config.pb.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

constexpr token tick_timer = 1;
constexpr token fetch_timer = 2;
constexpr token head_tag = 1;
constexpr std::string_view topic = "configuration";
constexpr unsigned head_request_repeats = 3;

} // namespace

configuration_service::configuration_service(configuration_options options, const peer_view& peers)
    : options_(std::move(options)), peers_(&peers),
      head_follower_("configuration", head_tag, kv_range{std::string(head_key), ""},
                     options_.store) {}

configuration_service::~configuration_service() = default;

void configuration_service::start(step& now) {
    started_ = now.time();
    on_timer(tick_timer, now);
}

void configuration_service::on_timer(token id, step& now) {
    repeat_head_request(now);
    pursue(now);
    if (id == fetch_timer) {
        return;
    }
    follow_store(now);
    gossip(now);
    now.emit(set_timer{std::string(name()), tick_timer, now.time() + options_.tick});
}

void configuration_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
    if (!head_follower_.owns(id)) {
        on_chunks_read(id, reply, now);
        return;
    }
    for (const kv_entry& entry : head_follower_.on_reply(id, reply, now)) {
        consider(entry.value, std::nullopt, now);
    }
    follow_store(now);
}

void configuration_service::on_message(const message& received, step& now) {
    wire::config_gossip content;
    if (!content.ParseFromString(received.payload)) {
        return;
    }
    switch (content.kind_case()) {
    case wire::config_gossip::kAnnounce:
        on_announce(content.announce().revision(), received.from, now);
        break;
    case wire::config_gossip::kAskHead:
        if (revision_ > 0) {
            wire::config_gossip answer;
            answer.mutable_give_head()->set_head(head_bytes_);
            transmit(received.from, answer, now);
        }
        break;
    case wire::config_gossip::kGiveHead:
        consider(content.give_head().head(), received.from, now);
        break;
    case wire::config_gossip::kAskChunks:
        give_chunks(received.from, content.ask_chunks(), now);
        break;
    case wire::config_gossip::kGiveChunk:
        take_chunk(content.give_chunk().chunk(), now);
        break;
    case wire::config_gossip::KIND_NOT_SET:
        break;
    }
}

configuration_status configuration_service::status() const {
    return {revision_,
            std::max(newest_heard_, revision_),
            watcher_,
            head_follower_.in_contact(),
            head_follower_.calls() + chunk_calls_,
            fault_};
}

void configuration_service::revision_heard(std::uint64_t revision, const node_id& from, step& now) {
    on_announce(revision, from, now);
}

void configuration_service::follow_store(step& now) {
    const std::vector<peer> peers = peers_->live_peers();
    const bool alone = peers.empty();
    watcher_ = alone ? now.time() - started_ >= options_.watch_grace
                     : is_watcher({now.self(), options_.data_centre}, topic, peers);
    head_follower_.tick(watcher_, now);
}

void configuration_service::gossip(step& now) {
    if (repeats_left_ > 0) {
        --repeats_left_;
        announce_to_data_centre(now);
    }
    if (now.time() < next_gossip_) {
        return;
    }
    const auto period = static_cast<std::uint64_t>(options_.gossip_period.count());
    const auto jitter = static_cast<duration::rep>(now.random().below(period / 4 + 1));
    next_gossip_ = now.time() + options_.gossip_period - duration{jitter};
    constexpr std::uint64_t elsewhere_one_in = 4;
    const bool cut_off = watcher_ && !head_follower_.in_contact();
    gossip_to_one(false, now);
    if (cut_off || now.random().below(elsewhere_one_in) == 0) {
        gossip_to_one(true, now);
    }
}

/** Tells one peer, of another data centre or of this one; either asks if it has less. */
void configuration_service::gossip_to_one(bool elsewhere, step& now) {
    std::vector<peer> peers = peers_->live_peers();
    std::erase_if(peers, [&](const peer& each) {
        const bool here = each.data_centre == options_.data_centre;
        return each.node == now.self() || here == elsewhere;
    });
    if (!peers.empty()) {
        announce(peers[now.random().below(peers.size())].node, now);
    }
}

void configuration_service::announce(const node_id& to, step& now) {
    wire::config_gossip content;
    content.mutable_announce()->set_revision(revision_);
    transmit(to, content, now);
}

void configuration_service::announce_to_data_centre(step& now) {
    for (const peer& each : peers_->live_peers()) {
        if (each.data_centre == options_.data_centre && each.node != now.self()) {
            announce(each.node, now);
        }
    }
}

void configuration_service::on_announce(std::uint64_t revision, const node_id& from, step& now) {
    newest_heard_ = std::max(newest_heard_, revision);
    if (revision < revision_) {
        announce(from, now);
        return;
    }
    if (revision == revision_ || revision <= refused_revision_) {
        return;
    }
    if (fetch_ && fetch_->head.revision >= revision) {
        if (!fetch_->source && fetch_->head.revision == revision) {
            fetch_->source = from; // costs the store nothing
            pursue(now);
        }
        return;
    }
    const bool asked = head_request_ && head_request_->revision >= revision &&
                       now.time() - head_request_->asked_at < options_.fetch_timeout;
    if (!asked) {
        ask_head({revision, from, now.time(), head_request_repeats}, now);
    }
}

void configuration_service::ask_head(head_request wanted, step& now) {
    wire::config_gossip content;
    content.mutable_ask_head();
    transmit(wanted.from, content, now);
    head_request_ = std::move(wanted);
    look_again_later(now);
}

/** So that a lost message costs one timeout, not the wait for the next tick too. */
void configuration_service::look_again_later(step& now) {
    now.emit(set_timer{std::string(name()), fetch_timer, now.time() + options_.fetch_timeout});
}

void configuration_service::repeat_head_request(step& now) {
    if (!head_request_) {
        return;
    }
    const bool had = revision_ >= head_request_->revision ||
                     (fetch_ && fetch_->head.revision >= head_request_->revision);
    if (had || refused_revision_ >= head_request_->revision || head_request_->repeats_left == 0) {
        head_request_.reset();
    } else if (now.time() - head_request_->asked_at >= options_.fetch_timeout) {
        head_request again = *head_request_;
        again.asked_at = now.time();
        --again.repeats_left;
        ask_head(std::move(again), now);
    }
}

void configuration_service::transmit(const node_id& to, const wire::config_gossip& content,
                                     step& now) {
    now.send(to, std::string(name()), content.SerializeAsString());
}

} // namespace camphorgrade::config
