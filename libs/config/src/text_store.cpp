#include <config/text_store.h>

#include <kernel/check.h>

#include <algorithm>
#include <charconv>

namespace camphorgrade::config {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t most_operations = 32; // in one transaction
constexpr std::size_t most_bytes = 512U << 10U;
constexpr int attempts = 3;
constexpr std::string_view revision_note = "# revision: ";

const kv_failure* failure_of(const kv_reply& reply) {
    return std::get_if<kv_failure>(&reply);
}

/** What became of the apply `id`, which was based on the revision before `wanted`. */
enum class apply_fate { in_force, superseded, lost, unknown };

apply_fate fate_of(const apply_id& id, std::uint64_t wanted, const config_head& head) {
    if (head.apply == id) {
        return apply_fate::in_force;
    }
    const auto& earlier = head.earlier_applies;
    if (std::find(earlier.begin(), earlier.end(), id) != earlier.end()) {
        return apply_fate::superseded;
    }
    const bool remembered = head.revision <= wanted + earlier.size();
    return remembered ? apply_fate::lost : apply_fate::unknown;
}

/** The new head, remembering the applies before it. */
config_head succeed(config_head head, const std::optional<stored_text>& current) {
    if (current) {
        head.earlier_applies = current->head.earlier_applies;
        head.earlier_applies.insert(head.earlier_applies.begin(), current->head.apply);
        if (head.earlier_applies.size() > max_earlier_applies) {
            head.earlier_applies.pop_back();
        }
    }
    return head;
}

} // namespace

kv_reply text_store::execute(const kv_request& request) {
    ++calls_;
    return access_->execute(request);
}

leaf::result<std::optional<kv_entry>> text_store::read_head() {
    for (int i = 0; i < attempts; ++i) {
        const kv_reply reply = execute(kv_range{std::string(head_key), ""});
        if (const auto* found = std::get_if<kv_range_result>(&reply)) {
            return found->entries.empty() ? std::nullopt : std::optional(found->entries.front());
        }
    }
    return leaf::new_error(store_fault::unavailable);
}

leaf::result<std::optional<stored_text>> text_store::fetch() {
    for (int i = 0; i < attempts; ++i) {
        BOOST_LEAF_AUTO(entry, read_head());
        if (!entry) {
            return std::nullopt;
        }
        const auto decoded = decode_head(entry->value);
        const auto* head = std::get_if<config_head>(&decoded);
        if (head == nullptr) {
            return leaf::new_error(store_fault::damaged);
        }
        auto none = operators_text::create({}, std::vector<adapter_spec>{});
        stored_text found{
            std::get<operators_text>(std::move(none)), *head, entry->mod_revision, {}};
        text_assembler chunks;
        if (auto done = read_chunks(chunks.missing(*head), found, chunks); !done) {
            return done.error();
        }
        if (!chunks.missing(*head).empty()) {
            continue; // another apply has removed them meanwhile, or they are damaged
        }
        auto assembled = chunks.assemble(*head);
        if (auto* text = std::get_if<operators_text>(&assembled)) {
            found.text = std::move(*text);
            return found;
        }
        return leaf::new_error(store_fault::damaged);
    }
    return leaf::new_error(store_fault::damaged);
}

leaf::result<void> text_store::read_chunks(const std::vector<chunk_digest>& missing,
                                           stored_text& into, text_assembler& chunks) {
    for (std::size_t from = 0; from < missing.size(); from += most_operations) {
        kv_txn read;
        const std::size_t to = std::min(missing.size(), from + most_operations);
        for (std::size_t i = from; i < to; ++i) {
            read.success.emplace_back(kv_range{chunk_key(missing[i]), ""});
        }
        kv_reply reply = execute(read);
        for (int i = 1; i < attempts && failure_of(reply) != nullptr; ++i) {
            reply = execute(read);
        }
        const auto* done = std::get_if<kv_txn_result>(&reply);
        if (done == nullptr) {
            return leaf::new_error(store_fault::unavailable);
        }
        for (const kv_range_result& range : done->ranges) {
            for (const kv_entry& entry : range.entries) {
                into.chunk_mod_revisions[digest_of(entry.value)] = entry.mod_revision;
                chunks.add(entry.value);
            }
        }
    }
    return {};
}

leaf::result<apply_outcome> text_store::apply(const operators_text& text, std::uint64_t base,
                                              const apply_id& id) {
    CAMPHOR_PRECONDITION(!id.value().empty());
    BOOST_LEAF_AUTO(current, fetch());
    const std::uint64_t revision = current ? current->head.revision : 0;
    if (current && current->text == text) {
        return apply_unchanged{revision};
    }
    if (revision != base) {
        return apply_raced{revision,
                           current ? diff(current->text, text) : std::vector<text_change>{}};
    }
    packed_text packed = pack(text, base + 1, id);
    packed.head = succeed(std::move(packed.head), current);
    BOOST_LEAF_AUTO(written, write_chunks(packed, current));
    const std::int64_t base_mod_revision = current ? current->head_mod_revision : 0;
    BOOST_LEAF_AUTO(outcome, swap_head(text, packed, base_mod_revision, written));
    const auto* accepted = std::get_if<apply_accepted>(&outcome);
    if (accepted != nullptr && !accepted->superseded && current) {
        BOOST_LEAF_AUTO(entry, read_head());
        if (entry && entry->value == encode(packed.head)) {
            remove_unused(current->chunk_mod_revisions, packed.head, entry->mod_revision);
        }
    }
    return outcome;
}

/**
 * Writes the chunks that the text in force does not have, also those that exist: whoever removes
 * unused ones sees by the store revision that they are wanted again.
 */
leaf::result<text_store::upload>
text_store::write_chunks(const packed_text& packed, const std::optional<stored_text>& current) {
    upload written;
    kv_txn batch;
    std::vector<chunk_digest> batch_digests;
    std::size_t batch_bytes = 0;
    const auto flush = [&]() -> leaf::result<void> {
        for (int i = 0; i < attempts && !batch.success.empty(); ++i) {
            const kv_reply reply = execute(batch);
            if (const auto* done = std::get_if<kv_txn_result>(&reply)) {
                for (const chunk_digest& digest : batch_digests) {
                    written.mod_revisions[digest] = done->revision;
                }
                batch.success.clear();
                batch_digests.clear();
                batch_bytes = 0;
            }
        }
        return batch.success.empty() ? leaf::result<void>{}
                                     : leaf::new_error(store_fault::unavailable);
    };
    for (const auto& [digest, bytes] : packed.chunks) {
        if (current && current->chunk_mod_revisions.contains(digest)) {
            continue;
        }
        if (batch.success.size() == most_operations || batch_bytes + bytes.size() > most_bytes) {
            if (auto done = flush(); !done) {
                return done.error();
            }
        }
        batch.success.emplace_back(kv_put{chunk_key(digest), bytes, 0});
        batch_digests.push_back(digest);
        batch_bytes += bytes.size();
        written.bytes += bytes.size();
    }
    if (auto done = flush(); !done) {
        return done.error();
    }
    return written;
}

/** Whatever answer is lost, says only what reading back has shown. */
leaf::result<apply_outcome> text_store::swap_head(const operators_text& text,
                                                  const packed_text& packed,
                                                  std::int64_t base_mod_revision,
                                                  const upload& written) {
    const std::string key(head_key);
    const kv_txn swap{{{key, base_mod_revision}}, {kv_put{key, encode(packed.head), 0}}, {}};
    const apply_accepted accepted{packed.head.revision, written.mod_revisions.size(), written.bytes,
                                  false};
    bool may_be_written = false;
    for (int i = 0; i < attempts; ++i) {
        const kv_reply reply = execute(swap); // only one of several copies can succeed
        if (const auto* failure = failure_of(reply)) {
            may_be_written = may_be_written || failure->kind == kv_failure_kind::ambiguous;
            continue;
        }
        if (std::get<kv_txn_result>(reply).succeeded) {
            return accepted;
        }
        auto entry = read_head();
        if (!entry) {
            break;
        }
        const auto decoded = decode_head(*entry ? (*entry)->value : std::string());
        const auto* head = std::get_if<config_head>(&decoded);
        if (head == nullptr) {
            return leaf::new_error(store_fault::damaged);
        }
        switch (fate_of(packed.head.apply, packed.head.revision, *head)) {
        case apply_fate::in_force:
            return accepted;
        case apply_fate::superseded:
            return apply_accepted{accepted.revision, accepted.chunks_written,
                                  accepted.bytes_written, true};
        case apply_fate::lost:
            return lost_race(text, written);
        case apply_fate::unknown:
            return leaf::new_error(store_fault::outcome_unknown);
        }
    }
    return leaf::new_error(may_be_written ? store_fault::outcome_unknown
                                          : store_fault::unavailable);
}

leaf::result<apply_outcome> text_store::lost_race(const operators_text& text,
                                                  const upload& written) {
    BOOST_LEAF_AUTO(winner, fetch());
    if (!winner) {
        return leaf::new_error(store_fault::damaged);
    }
    remove_unused(written.mod_revisions, winner->head, winner->head_mod_revision);
    if (winner->text == text) {
        return apply_unchanged{winner->head.revision};
    }
    return apply_raced{winner->head.revision, diff(winner->text, text)};
}

/**
 * Removes chunks that the head does not name, unless the head has moved on or a chunk was written
 * again: then somebody may be about to need it. What is left over costs only room.
 */
void text_store::remove_unused(const std::map<chunk_digest, std::int64_t>& candidates,
                               const config_head& head, std::int64_t head_mod_revision) {
    std::set<chunk_digest> used(head.statement_chunks.begin(), head.statement_chunks.end());
    used.insert(head.adapter_chunks.begin(), head.adapter_chunks.end());
    const kv_compare head_unmoved{std::string(head_key), head_mod_revision};
    kv_txn removal{{head_unmoved}, {}, {}};
    const auto flush = [&] {
        if (!removal.success.empty()) {
            execute(removal);
        }
        removal = {{head_unmoved}, {}, {}};
    };
    for (const auto& [digest, mod_revision] : candidates) {
        if (used.contains(digest)) {
            continue;
        }
        removal.compares.push_back({chunk_key(digest), mod_revision});
        removal.success.emplace_back(kv_delete{chunk_key(digest), ""});
        if (removal.success.size() == most_operations) {
            flush();
        }
    }
    flush();
}

std::optional<std::uint64_t> noted_revision(std::string_view yaml) {
    if (!yaml.starts_with(revision_note)) {
        return std::nullopt;
    }
    const std::string_view digits =
        yaml.substr(revision_note.size(), yaml.find('\n') - revision_note.size());
    std::uint64_t revision = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, revision);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(revision) : std::nullopt;
}

std::string note_revision(std::string_view yaml, std::uint64_t revision) {
    return std::string(revision_note) + std::to_string(revision) + '\n' + std::string(yaml);
}

} // namespace camphorgrade::config
