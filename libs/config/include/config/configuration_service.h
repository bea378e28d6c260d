#pragma once

#include <config/configuration_listener.h>
#include <config/packed_text.h>
#include <config/peer_view.h>
#include <config/store_follower.h>

#include <kernel/check.h>
#include <kernel/service.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::wire {
class config_ask_chunks;
class config_gossip;
} // namespace camphorgrade::wire

namespace camphorgrade::config {

/** Times of the configuration service. */
struct configuration_options {
    std::string data_centre;       /**< Where this process runs. */
    duration tick{250};            /**< How often due work is looked for. */
    duration gossip_period{1'000}; /**< Between announcements to one peer chosen at random. */
    duration fetch_timeout{250};   /**< A peer that gave nothing for so long is asked again. */
    duration watch_grace{5'000};   /**< A process that knows no peers waits so long to watch. */
    unsigned repeats = 3;          /**< A watcher repeats an announcement at so many ticks. */
    follower_timing store;

    friend bool operator==(const configuration_options&, const configuration_options&) = default;
};

/** A head that this process knows of and does not adopt. A value type. */
struct configuration_fault {
    std::uint64_t revision = 0;
    assembly_fault kind = assembly_fault::malformed_head;

    friend bool operator==(const configuration_fault&, const configuration_fault&) = default;
};

/** What is in force here, for operators. A value type. */
struct configuration_status {
    std::uint64_t revision = 0;     /**< In force; 0 while there is none. */
    std::uint64_t newest_heard = 0; /**< Highest revision that is known to exist. */
    bool watcher = false;           /**< Watches the key-value service. */
    bool store_in_contact = false;
    std::uint64_t store_calls = 0;
    std::optional<configuration_fault> fault;

    friend bool operator==(const configuration_status&, const configuration_status&) = default;
};

/** A newer text of which chunks are still missing; state of a configuration_service. */
struct text_fetch {
    config_head head;
    std::string head_bytes;
    std::optional<node_id> source; /**< A peer, or the store. */
    std::set<chunk_digest> asked;  /**< Of the peer, and not yet given. */
    time_point asked_at{};
    unsigned stalls = 0;
    std::optional<token> store_call;
    time_point store_not_before{};
};

/**
 * Holds the operators' text that is in force in this process.
 *
 * Adopts only texts of a higher revision, whatever order news arrives in and whoever brings it. A
 * text that this build can't use is reported and leaves the one in force. Few processes of a data
 * centre watch the store; they announce a new revision to the others, which fetch the chunks that
 * they lack from the announcer. Called from the kernel's thread only.
 *
 * @code
 * kernel.add(std::make_unique<configuration_service>(options, peers));
 * // in attach() of another service:
 * kernel.find<configuration_service>("configuration").add_listener(*this);
 * @endcode
 */
class configuration_service final : public service {
public:
    /** Precondition: `peers` outlives the service. */
    configuration_service(configuration_options options, const peer_view& peers);
    ~configuration_service() override;

    std::string_view name() const noexcept override { return "configuration"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;
    void on_message(const message& received, step& now) override;

    /** Adds a listener. Preconditions: outlives the service; called before the kernel starts. */
    void add_listener(configuration_listener& listener) { listeners_.push_back(&listener); }

    /** The text in force, or null while there is none; holds until the next change. */
    const operators_text* text() const noexcept { return text_.get(); }

    /** Revision in force; 0 while there is none. Never goes back. */
    std::uint64_t revision() const noexcept { return revision_; }

    configuration_status status() const;

    /** News from elsewhere: the node `from` has this revision. */
    void revision_heard(std::uint64_t revision, const node_id& from, step& now);

private:
    /** A peer that has a newer text was asked for its head. */
    struct head_request {
        std::uint64_t revision;
        node_id from;
        time_point asked_at;
        unsigned repeats_left;
    };

    void follow_store(step& now);
    void gossip(step& now);
    void ask_head(head_request wanted, step& now);
    void repeat_head_request(step& now);
    void look_again_later(step& now);
    void gossip_to_one(bool elsewhere, step& now);
    void announce(const node_id& to, step& now);
    void announce_to_data_centre(step& now);
    void on_announce(std::uint64_t revision, const node_id& from, step& now);
    void consider(const std::string& head_bytes, std::optional<node_id> source, step& now);
    void refuse(std::uint64_t revision, assembly_fault kind, step& now);
    void pursue(step& now);
    void ask_peer(const std::vector<chunk_digest>& missing, step& now);
    void ask_store(const std::vector<chunk_digest>& missing, step& now);
    void on_chunks_read(token id, const kv_reply& reply, step& now);
    void give_chunks(const node_id& to, const wire::config_ask_chunks& asked, step& now);
    void take_chunk(const std::string& chunk, step& now);
    void adopt(step& now);
    void transmit(const node_id& to, const wire::config_gossip& content, step& now);

    configuration_options options_;
    const peer_view* peers_;
    std::vector<configuration_listener*> listeners_;
    store_follower head_follower_;
    text_assembler chunks_;
    std::unique_ptr<const operators_text> text_;
    std::uint64_t revision_ = 0;
    std::string head_bytes_;
    std::optional<text_fetch> fetch_;
    std::optional<configuration_fault> fault_;
    std::uint64_t newest_heard_ = 0;
    std::string refused_head_;           // from the store; refused once, not looked at again
    std::uint64_t refused_revision_ = 0; // nor asked of peers again
    std::optional<head_request> head_request_;
    time_point started_{};
    time_point next_gossip_{};
    unsigned repeats_left_ = 0;
    bool watcher_ = false;
    token next_call_ = 1;
    std::uint64_t chunk_calls_ = 0;
};

} // namespace camphorgrade::config
