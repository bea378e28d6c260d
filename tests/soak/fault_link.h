#pragma once

#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>

namespace camphorgrade::soak {

/** Which bytes of a connection a fault holds up. */
enum class direction : std::uint8_t { to_target, from_target, both };

/**
 * A loopback proxy in front of one address, whose connections can be delayed, reset, cut one way
 * or silenced. Not thread safe: belongs to the thread of its event loop.
 */
class fault_link {
public:
    fault_link(boost::asio::io_context& loop, const clock& clock,
               const boost::asio::ip::tcp::endpoint& listen,
               const boost::asio::ip::tcp::endpoint& target);
    ~fault_link();
    fault_link(const fault_link&) = delete;
    fault_link& operator=(const fault_link&) = delete;

    /** Bytes arrive later by this much in each direction. */
    void delay(duration by);

    /** Holds the bytes of one direction or both, of new connections too, until heal(). */
    void silence(direction which);

    /** Open connections pass nothing any more, for good; new ones work. */
    void strand();

    /** Resets every open connection. */
    void reset();

    /** Resets every open connection and each new one until heal(). */
    void refuse();

    /** Ends delay(), silence() and refuse(); what was held arrives. */
    void heal();

    /** How long it has worked without a fault; 0 while one lasts. */
    duration calm_for(time_point now) const;

private:
    class state;
    class session;
    std::shared_ptr<state> state_; // shared with the sessions' pending operations
};

} // namespace camphorgrade::soak
