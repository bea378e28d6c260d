#pragma once

#include <agent/engine_driver.h>

namespace camphorgrade::agent {

/**
 * The OpenAI-style interface with dynamic LoRA loading as vLLM publishes it:
 * POST /v1/load_lora_adapter, POST /v1/unload_lora_adapter, GET /v1/models.
 *
 * Two headers are read and written beyond it, and an engine without them still works: orders carry
 * `X-Fencing-Number`, and answers may name the engine's life in `X-Boot-Id`.
 * Thread safe.
 */
class vllm_driver final : public engine_driver {
public:
    http_request order_request(const placement::slot_order& order) const override;
    placement::order_outcome order_outcome_of(const placement::slot_order& order,
                                              const engine_answer& answer) const override;
    http_request listing_request() const override;
    std::optional<placement::engine_listing> listing_of(const engine_answer& answer,
                                                        time_point asked_at) const override;
    std::optional<placement::boot_id> boot_of(const http_head& head) const override;
    bool says_missing_adapter(const http_head& head) const override;
};

} // namespace camphorgrade::agent
