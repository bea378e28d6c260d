#pragma once

#include <adapters/adapter_manager.h>

#include <functional>
#include <optional>

namespace camphorgrade::adapters {

/**
 * Interface to the engine that an agent manages. Not thread safe; at most one call of each kind is
 * open at a time.
 */
class engine_port {
public:
    engine_port() = default;
    engine_port(const engine_port&) = delete;
    engine_port& operator=(const engine_port&) = delete;
    virtual ~engine_port() = default;

    /** Requests the engine's state. `done` receives nullopt when no response arrives in time or
        it cannot be parsed. */
    virtual void snapshot(std::function<void(std::optional<engine_snapshot>)> done) = 0;

    /** Sends an order to the process `backend_id`. `done` receives `unanswered` when no complete
        response arrives in time; the engine may then still execute the order. */
    virtual void order(const engine_order& order, const std::string& backend_id,
                       std::function<void(order_result)> done) = 0;
};

} // namespace camphorgrade::adapters
