#pragma once

#include <config/diff.h>
#include <config/kv_access.h>
#include <config/packed_text.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::config {

/** Why the store could not be read or written. */
enum class store_fault {
    unavailable,     /**< No answer; nothing was changed. */
    outcome_unknown, /**< No answer; the text may have been accepted, or may still be. */
    damaged          /**< What is kept is not a text that this build can read. */
};

/** The text in the store and where it stands. A value type. */
struct stored_text {
    operators_text text;
    config_head head;
    std::int64_t head_mod_revision = 0;
    std::map<chunk_digest, std::int64_t> chunk_mod_revisions;
};

/** The text was accepted and will be in force everywhere within seconds. */
struct apply_accepted {
    std::uint64_t revision = 0;
    std::size_t chunks_written = 0;
    std::size_t bytes_written = 0;
    bool superseded = false; /**< Another apply has followed already. */
};

/** The text is what is in force; nothing was written. */
struct apply_unchanged {
    std::uint64_t revision = 0;
};

/** Another apply came first; nothing was changed. */
struct apply_raced {
    std::uint64_t revision = 0;           /**< In force. */
    std::vector<text_change> differences; /**< From the text in force to the refused one. */
};

using apply_outcome = std::variant<apply_accepted, apply_unchanged, apply_raced>;

/**
 * Reads and changes the operators' text in the key-value service. Never merges: a text is accepted
 * only on top of the revision that its author edited. Errors are store_fault. As thread safe as its
 * kv_access.
 *
 * @code
 * text_store store(access);
 * const auto outcome = store.apply(text, base_revision, apply_id{unique});
 * @endcode
 */
class text_store {
public:
    /** Precondition: `access` outlives the store. */
    explicit text_store(kv_access& access) : access_(&access) {}

    /** The text in force; none before the first apply. */
    boost::leaf::result<std::optional<stored_text>> fetch();

    /**
     * Puts `text` in force on top of revision `base`, 0 for the first text. Preconditions: `id`
     * was never used before and has 1 to 64 bytes.
     */
    boost::leaf::result<apply_outcome> apply(const operators_text& text, std::uint64_t base,
                                             const apply_id& id);

    /** Calls made so far. */
    std::uint64_t calls() const noexcept { return calls_; }

private:
    struct upload {
        std::map<chunk_digest, std::int64_t> mod_revisions;
        std::size_t bytes = 0;
    };

    kv_reply execute(const kv_request& request);
    boost::leaf::result<std::optional<kv_entry>> read_head();
    boost::leaf::result<void> read_chunks(const std::vector<chunk_digest>& missing,
                                          stored_text& into, text_assembler& chunks);
    boost::leaf::result<upload> write_chunks(const packed_text& packed,
                                             const std::optional<stored_text>& current);
    boost::leaf::result<apply_outcome> swap_head(const operators_text& text,
                                                 const packed_text& packed,
                                                 std::int64_t base_mod_revision,
                                                 const upload& written);
    boost::leaf::result<apply_outcome> lost_race(const operators_text& text, const upload& written);
    void remove_unused(const std::map<chunk_digest, std::int64_t>& candidates,
                       const config_head& head, std::int64_t head_mod_revision);

    kv_access* access_;
    std::uint64_t calls_ = 0;
};

/** The base revision that note_revision() wrote into the YAML, if it is still there. Thread safe.
 */
std::optional<std::uint64_t> noted_revision(std::string_view yaml);

/** YAML with a first line that says which revision it is a copy of. Thread safe. */
std::string note_revision(std::string_view yaml, std::uint64_t revision);

} // namespace camphorgrade::config
