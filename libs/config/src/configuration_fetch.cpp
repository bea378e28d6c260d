#include <config/configuration_service.h>

#include <wire/config.pb.h>

#include <algorithm>

// How a newer text gets into this process: its head, then the chunks that are missing, then
// adoption.
namespace camphorgrade::config {
namespace {

constexpr token chunk_tag = 2;
constexpr token tag_bits = 4;
constexpr std::size_t most_chunks_asked = 32; // in one call or message
constexpr unsigned most_stalls = 3;

} // namespace

void configuration_service::consider(const std::string& head_bytes, std::optional<node_id> source,
                                     step& now) {
    if (head_bytes == refused_head_ || head_bytes == head_bytes_) {
        return;
    }
    const auto decoded = decode_head(head_bytes);
    if (const auto* fault = std::get_if<assembly_fault>(&decoded)) {
        if (!source) {
            refused_head_ = head_bytes;
            refuse(0, *fault, now);
        } else if (*fault == assembly_fault::newer_format) {
            refuse(newest_heard_, *fault, now);
        }
        return;
    }
    const auto& head = std::get<config_head>(decoded);
    newest_heard_ = std::max(newest_heard_, head.revision);
    if (head.revision <= revision_ || (fetch_ && fetch_->head.revision >= head.revision)) {
        return;
    }
    fetch_.emplace();
    fetch_->head = head;
    fetch_->head_bytes = head_bytes;
    fetch_->source = std::move(source);
    pursue(now);
}

void configuration_service::refuse(std::uint64_t revision, assembly_fault kind, step& now) {
    refused_revision_ = std::max(refused_revision_, revision);
    fault_ = configuration_fault{revision, kind};
    now.emit(write_log{
        log_level::error,
        "configuration_refused",
        {{"revision", std::to_string(revision)}, {"fault", std::string(to_string(kind))}}});
}

void configuration_service::pursue(step& now) {
    if (!fetch_) {
        return;
    }
    const std::vector<chunk_digest> missing = chunks_.missing(fetch_->head);
    if (missing.empty()) {
        adopt(now);
        return;
    }
    const bool waits = !fetch_->asked.empty();
    if (fetch_->source && waits && now.time() - fetch_->asked_at >= options_.fetch_timeout) {
        fetch_->asked.clear();
        if (++fetch_->stalls > most_stalls) {
            fetch_->source.reset();
        }
    }
    if (!fetch_->source) {
        ask_store(missing, now);
    } else if (fetch_->asked.empty()) {
        ask_peer(missing, now);
    }
}

void configuration_service::ask_peer(const std::vector<chunk_digest>& missing, step& now) {
    wire::config_gossip content;
    const std::size_t count = std::min(missing.size(), most_chunks_asked);
    for (std::size_t i = 0; i < count; ++i) {
        content.mutable_ask_chunks()->add_digests(missing[i].value());
        fetch_->asked.insert(missing[i]);
    }
    fetch_->asked_at = now.time();
    transmit(*fetch_->source, content, now);
    look_again_later(now);
}

void configuration_service::ask_store(const std::vector<chunk_digest>& missing, step& now) {
    if (fetch_->store_call || now.time() < fetch_->store_not_before) {
        return;
    }
    kv_txn read;
    const std::size_t count = std::min(missing.size(), most_chunks_asked);
    for (std::size_t i = 0; i < count; ++i) {
        read.success.emplace_back(kv_range{chunk_key(missing[i]), ""});
    }
    fetch_->store_call = next_call_++ << tag_bits | chunk_tag;
    ++chunk_calls_;
    now.emit(call_kv{std::string(name()), *fetch_->store_call, std::move(read)});
}

void configuration_service::on_chunks_read(token id, const kv_reply& reply, step& now) {
    if (!fetch_ || fetch_->store_call != id) {
        return;
    }
    fetch_->store_call.reset();
    const auto* read = std::get_if<kv_txn_result>(&reply);
    if (read == nullptr) {
        fetch_->store_not_before = now.time() + options_.store.retry;
        return;
    }
    const std::size_t missing_before = chunks_.missing(fetch_->head).size();
    bool gone = false;
    for (const kv_range_result& each : read->ranges) {
        gone = gone || each.entries.empty();
        if (!each.entries.empty()) {
            chunks_.add(each.entries.front().value);
        }
    }
    if (gone) { // another text has taken its place, and its chunks were removed
        fetch_.reset();
        head_follower_.read_soon(now);
        return;
    }
    if (chunks_.missing(fetch_->head).size() == missing_before) { // damaged in the store
        fetch_->store_not_before = now.time() + options_.store.retry;
        fault_ = configuration_fault{fetch_->head.revision, assembly_fault::malformed_chunk};
        return;
    }
    pursue(now);
}

void configuration_service::give_chunks(const node_id& to, const wire::config_ask_chunks& asked,
                                        step& now) {
    bool lacking = false;
    const int count = std::min(asked.digests_size(), static_cast<int>(most_chunks_asked));
    for (int i = 0; i < count; ++i) {
        const std::string* chunk = chunks_.find(chunk_digest{asked.digests(i)});
        if (chunk == nullptr) {
            lacking = true;
            continue;
        }
        wire::config_gossip content;
        content.mutable_give_chunk()->set_chunk(*chunk);
        transmit(to, content, now);
    }
    if (lacking && revision_ > 0) {
        announce(to, now); // the asker may want a text that is newer still
    }
}

void configuration_service::take_chunk(const std::string& chunk, step& now) {
    if (!fetch_ || chunk.size() > max_chunk_bytes) {
        return;
    }
    const chunk_digest digest = digest_of(chunk);
    const std::vector<chunk_digest> missing = chunks_.missing(fetch_->head);
    fetch_->asked.erase(digest);
    if (std::find(missing.begin(), missing.end(), digest) == missing.end()) {
        return;
    }
    chunks_.add(chunk);
    fetch_->asked_at = now.time();
    fetch_->stalls = 0;
    pursue(now);
}

void configuration_service::adopt(step& now) {
    const text_fetch done = std::move(*fetch_);
    fetch_.reset();
    auto assembled = chunks_.assemble(done.head);
    if (const auto* fault = std::get_if<assembly_fault>(&assembled)) {
        refused_head_ = done.head_bytes;
        refuse(done.head.revision, *fault, now);
        const auto current = decode_head(head_bytes_);
        const auto* kept = std::get_if<config_head>(&current);
        chunks_.keep_only(kept == nullptr ? config_head{} : *kept);
        return;
    }
    CAMPHOR_INVARIANT(done.head.revision > revision_);
    const auto previous = std::move(text_); // listeners may still point into it
    text_ = std::make_unique<const operators_text>(std::get<operators_text>(std::move(assembled)));
    revision_ = done.head.revision;
    head_bytes_ = done.head_bytes;
    chunks_.keep_only(done.head);
    fault_.reset();
    now.emit(write_log{
        log_level::info, "configuration_in_force", {{"revision", std::to_string(revision_)}}});
    for (configuration_listener* each : listeners_) {
        each->configuration_changed(*text_, revision_, now);
    }
    if (watcher_) {
        repeats_left_ = options_.repeats;
        announce_to_data_centre(now);
    }
}

} // namespace camphorgrade::config
