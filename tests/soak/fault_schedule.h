#pragma once

#include "soak_world.h"

#include <kernel/clock.h>
#include <kernel/random.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** A random duration in [shortest, longest). */
duration between(random_source& random, duration shortest, duration longest);

/** Injects random faults, one after the other, that last and overlap. Not thread safe. */
class fault_schedule {
public:
    /** Notes what it injects in `journal`. */
    fault_schedule(boost::asio::io_context& loop, const clock& clock, soak_world& world,
                   std::uint64_t seed, std::vector<std::string>& journal);

    /** Begins one fault; it ends by itself. */
    void inject();

private:
    template <typename Things>
    auto& pick(Things& things) {
        return things[random_.below(things.size())];
    }

    void note(const std::string& what);
    void later(duration after, std::function<void()> then);
    void process_fault();
    void link_fault();
    void store_fault();
    void backend_fault();
    void crash(backend_site& site, duration length);
    void replace(backend_site& site);
    void operators_change();

    boost::asio::io_context& loop_;
    const clock& clock_;
    soak_world& world_;
    random_source random_;
    std::vector<std::string>& journal_;
    time_point began_;
};

} // namespace camphorgrade::soak
