#include <config/packed_text.h>

#include "statement_codec.h"
#include "unknown_fields.h"

#include <kernel/check.h>
#include <wire/config.pb.h>

#include <algorithm>
#include <array>

namespace camphorgrade::config {
namespace {

constexpr std::size_t max_head_bytes = 1U << 20U;
constexpr std::size_t max_apply_id_bytes = 64;

template <typename Digests>
bool read_digests(const Digests& from, std::vector<chunk_digest>& to) {
    for (const std::string& digest : from) {
        if (digest.size() != chunk_digest_bytes) {
            return false;
        }
        to.emplace_back(digest);
    }
    return true;
}

} // namespace

std::string_view to_string(assembly_fault fault) {
    static constexpr std::array<std::string_view, 4> names{"malformed_head", "newer_format",
                                                           "malformed_chunk", "inconsistent"};
    return names.at(static_cast<std::size_t>(fault));
}

std::string encode(const config_head& head) {
    wire::config_head message;
    message.set_revision(head.revision);
    message.set_format(head.format);
    message.set_apply_id(head.apply.value());
    for (const apply_id& each : head.earlier_applies) {
        message.add_earlier_applies(each.value());
    }
    for (const chunk_digest& digest : head.statement_chunks) {
        message.add_statement_chunks(digest.value());
    }
    for (const chunk_digest& digest : head.adapter_chunks) {
        message.add_adapter_chunks(digest.value());
    }
    return message.SerializeAsString();
}

std::variant<config_head, assembly_fault> decode_head(std::string_view bytes) {
    wire::config_head message;
    if (bytes.size() > max_head_bytes ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return assembly_fault::malformed_head;
    }
    config_head head{
        message.revision(), message.format(), apply_id{message.apply_id()}, {}, {}, {}};
    for (const std::string& each : message.earlier_applies()) {
        head.earlier_applies.emplace_back(each);
    }
    if (head.format > text_format || has_unknown_fields(message)) {
        return assembly_fault::newer_format;
    }
    const bool whole = read_digests(message.statement_chunks(), head.statement_chunks) &&
                       read_digests(message.adapter_chunks(), head.adapter_chunks);
    if (!whole || head.revision == 0 || head.format == 0 || head.statement_chunks.empty() ||
        head.apply.value().size() > max_apply_id_bytes ||
        head.earlier_applies.size() > max_earlier_applies) {
        return assembly_fault::malformed_head;
    }
    return head;
}

packed_text pack(const operators_text& text, std::uint64_t revision, apply_id apply) {
    packed_text packed{{revision, text_format, std::move(apply), {}, {}, {}}, {}};
    for (std::string& piece : cut_statement(text.statement())) {
        chunk_digest digest = digest_of(piece);
        packed.chunks.emplace(digest, std::move(piece));
        packed.head.statement_chunks.push_back(std::move(digest));
    }
    for (const auto& chunk : text.adapters().chunks()) {
        packed.head.adapter_chunks.push_back(chunk->digest());
        packed.chunks.emplace(chunk->digest(), chunk->bytes());
    }
    return packed;
}

std::string chunk_key(const chunk_digest& digest) {
    return std::string(chunk_key_prefix) + to_hex(digest);
}

std::vector<chunk_digest> text_assembler::missing(const config_head& head) const {
    std::set<chunk_digest> wanted;
    const auto look = [&](const std::vector<chunk_digest>& digests) {
        std::copy_if(digests.begin(), digests.end(), std::inserter(wanted, wanted.end()),
                     [&](const chunk_digest& each) { return find(each) == nullptr; });
    };
    look(head.statement_chunks);
    look(head.adapter_chunks);
    return {wanted.begin(), wanted.end()};
}

void text_assembler::add(std::string chunk) {
    if (chunk.size() > max_chunk_bytes) {
        return;
    }
    if (auto adapters = adapter_chunk::decode(chunk)) {
        chunk_digest digest = adapters->digest();
        adapters_.emplace(std::move(digest),
                          std::make_shared<const adapter_chunk>(std::move(*adapters)));
        return;
    }
    chunk_digest digest = digest_of(chunk);
    statements_.emplace(std::move(digest), std::move(chunk));
}

const std::string* text_assembler::find(const chunk_digest& digest) const {
    if (const auto found = adapters_.find(digest); found != adapters_.end()) {
        return &found->second->bytes();
    }
    const auto found = statements_.find(digest);
    return found == statements_.end() ? nullptr : &found->second;
}

std::variant<operators_text, assembly_fault> text_assembler::assemble(const config_head& head) {
    CAMPHOR_PRECONDITION(missing(head).empty());
    std::string pieces;
    for (const chunk_digest& digest : head.statement_chunks) {
        pieces += *find(digest);
    }
    std::vector<adapter_catalogue::chunk_pointer> chunks;
    for (const chunk_digest& digest : head.adapter_chunks) {
        const auto found = adapters_.find(digest);
        if (found == adapters_.end()) {
            return assembly_fault::malformed_chunk;
        }
        chunks.push_back(found->second);
    }
    auto catalogue = adapter_catalogue::join(std::move(chunks));
    if (!catalogue) {
        return assembly_fault::malformed_chunk;
    }
    auto statement = join_statement(pieces);
    if (const auto* fault = std::get_if<assembly_fault>(&statement)) {
        return *fault;
    }
    auto created = operators_text::create(std::get<operators_statement>(std::move(statement)),
                                          std::move(*catalogue));
    if (auto* text = std::get_if<operators_text>(&created)) {
        return std::move(*text);
    }
    return assembly_fault::inconsistent;
}

void text_assembler::keep_only(const config_head& head) {
    std::set<chunk_digest> used(head.statement_chunks.begin(), head.statement_chunks.end());
    used.insert(head.adapter_chunks.begin(), head.adapter_chunks.end());
    std::erase_if(statements_, [&](const auto& each) { return !used.contains(each.first); });
    std::erase_if(adapters_, [&](const auto& each) { return !used.contains(each.first); });
}

} // namespace camphorgrade::config
