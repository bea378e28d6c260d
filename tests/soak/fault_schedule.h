#pragma once

#include "soak_world.h"

#include <kernel/clock.h>
#include <kernel/random.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

/** A random duration in [shortest, longest). Precondition: shortest < longest. */
duration random_duration(random_source& random, duration shortest, duration longest);

/** Injects random faults of limited duration, which may overlap. Not thread safe. */
class fault_schedule {
public:
    /** Appends a line to `fault_log` for each fault; `fault_log` must outlive this object. */
    fault_schedule(boost::asio::io_context& loop, const clock& clock, soak_world& world,
                   std::uint64_t seed, std::vector<std::string>& fault_log);

    /** Every second fault is one of responses, of one of these kinds. */
    void set_response_faults(std::vector<response_fault_kind> kinds) {
        response_kinds_ = std::move(kinds);
    }

    /** Every second fault is one that breaks the streams of callers. */
    void break_streams() { breaks_streams_ = true; }

    /** Starts a random fault or configuration change; a timer on the event loop ends the fault. */
    void inject_fault();

    /** Crashes and restarts every backend server that gets a request that crashes it. */
    void crash_on_requests();

private:
    template <typename Items>
    auto& pick(Items& items) {
        return items[random_.below(items.size())];
    }

    void log_fault(const std::string& event);
    void run_after(duration delay, std::function<void()> action);
    void inject_process_fault();
    void inject_link_fault();
    void inject_store_fault();
    /** The store goes away for a moment and comes back from a copy; its writers write again. */
    void return_from_copy();
    void reset_store_links();
    void inject_backend_fault();
    void inject_response_fault();
    void inject_stream_fault();
    /** Replaces all engines of one software version; none of them says that it is leaving. */
    void replace_version();
    /** Restarts the server under a new id at its address. */
    void restart_replaced(backend_site& site, const std::string& replaced_id);
    void crash(backend_site& site, duration fault_duration, bool assigns_new_id);
    void replace(backend_site& site);
    void change_configuration();

    boost::asio::io_context& loop_;
    const clock& clock_;
    soak_world& world_;
    random_source random_;
    std::vector<std::string>& fault_log_;
    time_point started_at_;
    std::vector<response_fault_kind> response_kinds_;
    bool breaks_streams_ = false;
};

} // namespace camphorgrade::soak
