#pragma once

#include <config/chunk_digest.h>
#include <config/operators_text.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorgrade::config {

/** Key of the head; the value is an encoded config_head. */
constexpr std::string_view head_key = "/camphorgrade/config/head";

/** A chunk's key is this and its digest in hex. */
constexpr std::string_view chunk_key_prefix = "/camphorgrade/config/chunk/";

/** Names one apply, so that its author can tell whether it was written. */
using apply_id = strong_id<struct apply_id_tag, std::string>;

/** How many earlier applies a head remembers, so that each author can learn what became of his. */
constexpr std::size_t max_earlier_applies = 16;

/** Says which text is in force, by the digests of its chunks. A value type. */
struct config_head {
    std::uint64_t revision = 0; /**< Counts up by one with every accepted apply, from 1. */
    std::uint32_t format = text_format;
    apply_id apply;
    std::vector<apply_id> earlier_applies; /**< Newest first; of the revisions right before. */
    std::vector<chunk_digest> statement_chunks;
    std::vector<chunk_digest> adapter_chunks;

    friend bool operator==(const config_head&, const config_head&) = default;
};

/** Why a head or a chunk can't be used. The text in force stays. */
enum class assembly_fault {
    malformed_head,
    newer_format, /**< Written by a newer build, or with fields that this one does not know. */
    malformed_chunk,
    inconsistent /**< The parts do not make a valid text. */
};

/** Such as "newer_format". Thread safe. */
std::string_view to_string(assembly_fault fault);

/** Thread safe. */
std::string encode(const config_head& head);

/** Never throws. Thread safe. */
std::variant<config_head, assembly_fault> decode_head(std::string_view bytes);

/** A text cut into content-addressed chunks. */
struct packed_text {
    config_head head;
    std::map<chunk_digest, std::string> chunks;
};

/** Cuts a text; equal texts give equal chunks. Thread safe. */
packed_text pack(const operators_text& text, std::uint64_t revision, apply_id apply);

/** Key of a chunk in the key-value service. Thread safe. */
std::string chunk_key(const chunk_digest& digest);

/**
 * Collects chunks and makes texts of them. Keeps the chunks of the last text that it made, so that
 * the next one needs only those that changed. Not thread safe.
 *
 * @code
 * text_assembler assembler;
 * for (const chunk_digest& digest : assembler.missing(head)) { assembler.add(fetch(digest)); }
 * auto text = assembler.assemble(head);
 * @endcode
 */
class text_assembler {
public:
    /** Chunks of the head that were not added yet, each once. */
    std::vector<chunk_digest> missing(const config_head& head) const;

    /** Keeps a chunk under the digest of its bytes, whatever it was asked for as. */
    void add(std::string chunk);

    /** The chunk's bytes, or null. */
    const std::string* find(const chunk_digest& digest) const;

    /** Makes the text. Precondition: missing(head) is empty. */
    std::variant<operators_text, assembly_fault> assemble(const config_head& head);

    /** Drops all chunks but those of the head. */
    void keep_only(const config_head& head);

    std::size_t chunk_count() const noexcept { return statements_.size() + adapters_.size(); }

private:
    std::map<chunk_digest, std::string> statements_;
    std::map<chunk_digest, adapter_catalogue::chunk_pointer> adapters_;
};

} // namespace camphorgrade::config
