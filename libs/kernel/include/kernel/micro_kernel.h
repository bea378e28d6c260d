#pragma once

#include <kernel/check.h>
#include <kernel/service.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade {

/**
 * Holds the services of one node and hands each event to the service that it names.
 *
 * The same sequence of (event, time) on the same seed gives the same effects, byte for byte; so one
 * kernel runs alike in a daemon, in a property test and in a replay. Not thread safe.
 *
 * @code
 * micro_kernel kernel(node_id{"gateway-1"}, incarnation{1}, 5);
 * kernel.add(std::make_unique<my_service>());
 * std::vector<effect> effects = kernel.start(now);
 * effects = kernel.handle(timer_fired{"my_service", 1}, later);
 * @endcode
 */
class micro_kernel {
public:
    /** `seed` feeds all random choices of the node. */
    micro_kernel(node_id self, incarnation life, std::uint64_t seed);

    const node_id& self() const noexcept { return self_; }
    incarnation life() const noexcept { return life_; }

    /** Adds a service. Preconditions: not started; no service of that name yet. */
    void add(std::unique_ptr<service> added);

    /**
     * The service of that name. Preconditions: it was added and is a `T`.
     * The reference holds as long as the kernel.
     */
    template <typename T>
    T& find(std::string_view name) {
        auto* found = dynamic_cast<T*>(find_any(name));
        CAMPHOR_PRECONDITION(found != nullptr);
        return *found;
    }

    /** Whether a service of that name was added. */
    bool contains(std::string_view name) const { return find_any(name) != nullptr; }

    /** Attaches and starts all services, in the order they were added. Precondition: once only. */
    std::vector<effect> start(time_point now);

    /**
     * Hands the event to its service and returns what that led to. Events for services that this
     * node does not have are dropped. Precondition: started; `now` is not before the last event.
     */
    std::vector<effect> handle(const event& happened, time_point now);

private:
    service* find_any(std::string_view name) const;
    void dispatch(const event& happened, step& now);

    node_id self_;
    incarnation life_;
    random_source random_;
    std::vector<std::unique_ptr<service>> in_order_;
    std::map<std::string, service*, std::less<>> by_name_;
    time_point last_{};
    bool started_ = false;
};

} // namespace camphorgrade
