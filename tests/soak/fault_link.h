#pragma once

#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace camphorgrade::soak {

/** Direction of the bytes that a fault affects. */
enum class direction : std::uint8_t { to_target, from_target, both };

/**
 * A TCP proxy on the loopback network that forwards to one address and injects faults: it can
 * delay, stall, blackhole, reset or refuse connections. Not thread safe: used only on the thread of
 * its event loop.
 */
class fault_link {
public:
    fault_link(boost::asio::io_context& loop, const clock& clock,
               const boost::asio::ip::tcp::endpoint& listen,
               const boost::asio::ip::tcp::endpoint& target);
    ~fault_link();
    fault_link(const fault_link&) = delete;
    fault_link& operator=(const fault_link&) = delete;

    /** Delays the bytes of both directions by `delay`, until clear_faults(). */
    void set_delay(duration delay);

    /** Holds back the affected bytes of all connections, also new ones, until clear_faults(). */
    void stall(direction affected);

    /** Open connections never forward another byte, even after clear_faults(); new ones work. */
    void blackhole_open_connections();

    /** Resets every open connection. */
    void reset_connections();

    /** Resets every open connection, and each new one until clear_faults(). */
    void refuse_connections();

    /** Ends set_delay(), stall() and refuse_connections(); stalled bytes are forwarded. */
    void clear_faults();

    /** Time since the last fault; 0 while a fault is active. */
    duration fault_free_time(time_point now) const;

private:
    class state;
    class session;
    std::shared_ptr<state> state_; // shared with the sessions' pending operations
};

} // namespace camphorgrade::soak
