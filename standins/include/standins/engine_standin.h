#pragma once

#include <standins/standin_host.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace camphorgrade::standins {

/** How an engine_standin behaves; faults can be changed while it runs by POST /control/faults. */
struct engine_settings {
    std::string base_model = "base";
    std::size_t slots = 4;  /**< Adapters that fit at once, those being loaded included. */
    duration load_time{0};  /**< Until a load is answered. */
    duration token_time{0}; /**< Between two tokens of one request. */
    bool checks_fencing = false;
    std::string boot_id; /**< Made up when empty. */

    std::string crash_marker;        /**< A prompt that contains it ends the process. */
    std::size_t break_stream_at = 0; /**< Cuts answers after so many tokens; 0 for never. */
    bool refuses_loads = false;
    std::function<void()> crash; /**< How the process ends; by default, at once. */
};

/**
 * A model engine with the OpenAI-style API and vLLM's dynamic LoRA calls, as published.
 *
 * Text comes from expected_text(). A caller that hangs up cancels its generation.
 * `GET /control/state` tells what the engine has seen. Thread safe but for start and destruction.
 */
class engine_standin final : private standin_logic {
public:
    explicit engine_standin(engine_settings settings = {});

    /** Listens; false when that is not possible. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    /** One request that generates. */
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

    void answer(const standin_call& call, http_response response) const;
    void refuse(const standin_call& call, int status, const std::string& message) const;
    void list_models(const standin_call& call) const;
    void show_state(const standin_call& call) const;
    void set_faults(const standin_call& call);

    bool takes_order(const standin_call& call);
    void load(standin_call call);
    void unload(const standin_call& call);
    bool is_serving(const std::string& model) const;

    void generate(standin_call call, bool is_chat);
    void begin(exchange_id id);
    void schedule_token(exchange_id id);
    void produce_token(exchange_id id);
    void finish(exchange_id id);
    std::string stream_event(const generation& running, const std::string& text) const;
    std::string whole_body(const generation& finished) const;

    engine_settings settings_;
    std::map<std::string, adapter_state> adapters_;
    std::map<exchange_id, generation> running_;
    std::uint64_t highest_fencing_number_ = 0;
    call_counts counts_;
    standin_host host_;
};

} // namespace camphorgrade::standins
