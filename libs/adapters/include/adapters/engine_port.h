#pragma once

#include <adapters/adapter_manager.h>

#include <functional>
#include <optional>

namespace camphorgrade::adapters {

/** Speaks to the engine beside an agent. Not thread safe; one call of each kind at a time. */
class engine_port {
public:
    engine_port() = default;
    engine_port(const engine_port&) = delete;
    engine_port& operator=(const engine_port&) = delete;
    virtual ~engine_port() = default;

    /** Asks for the engine's state; nullopt when it doesn't answer in time or not readably. */
    virtual void snapshot(std::function<void(std::optional<engine_snapshot>)> done) = 0;

    /** Gives an order to the process `backend_id`. */
    virtual void order(const engine_order& order, const std::string& backend_id,
                       std::function<void(order_result)> done) = 0;
};

} // namespace camphorgrade::adapters
