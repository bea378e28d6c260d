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
 * Owns the services of one node and dispatches each event to the service that the event names.
 *
 * Deterministic: the same seed and the same sequence of events and times give the same effects,
 * byte for byte, in a daemon, in a property test and in a replay. Not thread safe.
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
    /** `seed` initializes the random numbers of all services of the node. */
    micro_kernel(node_id self, incarnation self_incarnation, std::uint64_t seed);

    const node_id& self() const noexcept { return self_; }
    incarnation life() const noexcept { return incarnation_; }

    /** Adds a service. Preconditions: not started; the name is not in use. */
    void add(std::unique_ptr<service> added);

    /**
     * The service called `name`. Precondition: it was added and is a `T`.
     * The reference is valid for the lifetime of the kernel.
     */
    template <typename T>
    T& find(std::string_view name) {
        auto* found = dynamic_cast<T*>(find_service(name));
        CAMPHOR_PRECONDITION(found != nullptr);
        return *found;
    }

    /** Whether a service called `name` was added. */
    bool contains(std::string_view name) const { return find_service(name) != nullptr; }

    /**
     * Attaches all services and then starts them, in the order in which they were added; returns
     * the effects. Precondition: not started.
     */
    std::vector<effect> start(time_point now);

    /**
     * Dispatches an event to its service and returns the effects. Drops an event whose service is
     * not in this kernel. Preconditions: started; `now` is not before the time of the last event.
     */
    std::vector<effect> handle(const event& incoming, time_point now);

private:
    /** The service called `name`; null if absent. */
    service* find_service(std::string_view name) const;
    void dispatch(const event& incoming, step& now);

    node_id self_;
    incarnation incarnation_;
    random_source random_;
    std::vector<std::unique_ptr<service>> services_;
    std::map<std::string, service*, std::less<>> services_by_name_;
    time_point last_event_time_{};
    bool started_ = false;
};

} // namespace camphorgrade
