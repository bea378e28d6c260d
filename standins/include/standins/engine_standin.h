#pragma once

#include <standins/standin_host.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphorgrade::standins {

/**
 * Settings of an engine_standin. POST /control/faults changes the fault settings and the durations
 * while it runs.
 */
struct engine_settings {
    std::string base_model = "base";
    std::size_t adapter_slots = 4; /**< Limit on adapters, including those being loaded. */
    duration load_duration{0};     /**< From a load request to its response. */
    duration token_interval{0};    /**< Time to generate each token of a request. */
    bool checks_fencing = false;   /**< Refuses loads and unloads with a stale fencing number. */
    std::string boot_id;           /**< Identifies this run of the engine; random if empty. */

    std::string crash_marker; /**< A prompt that contains it crashes the engine; empty for none. */
    std::size_t break_after_tokens = 0; /**< Cuts responses off after these tokens; 0: never. */
    bool refuses_loads = false;         /**< Refuses every load. */
    std::function<void()> crash;        /**< Simulates a crash; by default, calls _exit(). */
};

/**
 * A simulated model engine with the OpenAI-compatible API and vLLM's calls to load and unload LoRA
 * adapters.
 *
 * The generated text is that of expected_text(). A generation is cancelled when its caller
 * disconnects. `GET /control/state` returns the loaded adapters and the request counters. Thread
 * safe, except for start() and destruction.
 */
class engine_standin final : private standin_logic {
public:
    explicit engine_standin(engine_settings settings = {});

    /** Starts to listen; returns false if the address cannot be bound. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    /** A completion request whose text is being generated. */
    struct generation {
        std::string model;
        std::string prompt;
        std::size_t max_tokens = 0;
        std::size_t generated = 0;
        bool is_chat = false;
        bool is_stream = false;
        std::unique_ptr<response_writer> writer;
    };

    struct call_counts {
        std::size_t requests = 0;
        std::size_t completions = 0;
        std::size_t finished = 0;
        std::size_t cancelled = 0;
        std::size_t broken = 0;
        std::size_t tokens = 0;
        std::size_t loads = 0;
        std::size_t refused_loads = 0;
        std::size_t unloads = 0;
        std::size_t unloads_while_serving = 0;
        std::size_t stale_orders = 0;
        std::size_t authorization_headers = 0;
    };

    enum class adapter_state { loading, ready };

    void handle(standin_call call) override;
    void on_caller_lost(exchange_id id) override;

    void respond(const standin_call& call, http_response response) const;
    void respond_error(const standin_call& call, int status, const std::string& message) const;
    void list_models(const standin_call& call) const;
    void respond_state(const standin_call& call) const;
    void set_faults(const standin_call& call);

    bool check_fencing(const standin_call& call);
    void load_adapter(standin_call call);
    void unload_adapter(const standin_call& call);
    bool is_in_use(const std::string& model) const;

    void start_generation(standin_call call, bool is_chat);
    void start_response(exchange_id id);
    void schedule_token(exchange_id id);
    void produce_token(exchange_id id);
    void finish(exchange_id id);
    std::string stream_event(const generation& running, const std::string& text) const;
    std::string completion_body(const generation& finished) const;

    engine_settings settings_;
    std::map<std::string, adapter_state> adapters_;
    std::map<exchange_id, generation> running_;
    std::uint64_t highest_fencing_number_ = 0;
    call_counts counts_;
    standin_host host_;
};

} // namespace camphorgrade::standins
