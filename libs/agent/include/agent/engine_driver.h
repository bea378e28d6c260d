#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>
#include <placement/slot_order.h>

#include <optional>
#include <string>

namespace camphorgrade::agent {

/** A whole answer of a backend server to one of the agent's own calls. A value type. */
struct engine_answer {
    http_head head;
    std::string body;

    friend bool operator==(const engine_answer&, const engine_answer&) = default;
};

/**
 * Speaks one kind of engine's interface: turns orders into HTTP requests and answers into results.
 * Implementations keep no state and are thread safe.
 *
 * @code
 * const vllm_driver driver;
 * call(driver.order_request(order));
 * const auto outcome = driver.order_outcome_of(order, answer);
 * @endcode
 */
class engine_driver {
public:
    virtual ~engine_driver() = default;

    /** The request that carries the order, with its fencing number. */
    virtual http_request order_request(const placement::slot_order& order) const = 0;

    /** What the engine's answer says about the order. */
    virtual placement::order_outcome order_outcome_of(const placement::slot_order& order,
                                                      const engine_answer& answer) const = 0;

    /** The request for the adapters that the engine holds. */
    virtual http_request listing_request() const = 0;

    /** The listing in an answer; nullopt when it is no listing. */
    virtual std::optional<placement::engine_listing> listing_of(const engine_answer& answer,
                                                                time_point asked_at) const = 0;

    /** The life of the engine that an answer names; nullopt when it names none. */
    virtual std::optional<placement::boot_id> boot_of(const http_head& head) const = 0;

    /** Whether a completion's answer says that the engine does not hold the adapter. */
    virtual bool says_missing_adapter(const http_head& head) const = 0;
};

} // namespace camphorgrade::agent
