#pragma once

#include <kernel/ids.h>
#include <kernel/message.h>
#include <node/port.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade {

/** Keys of ZeroMQ CURVE, Z85 text of 40 digits each; all empty for plain connections. */
struct curve_keys {
    std::string own_public;
    std::string own_secret;
    std::string fleet_public; /**< Public key that all nodes of the fleet present as servers. */

    friend bool operator==(const curve_keys&, const curve_keys&) = default;
};

/**
 * Sends and receives the messages between nodes over ZeroMQ. A message to a node that cannot be
 * reached is dropped once a bounded queue is full. Not thread safe: the event loop's own.
 */
class message_port final : public port {
public:
    /**
     * Listens at `self`, which is "IP:port".
     * Throws zmq::error_t when the address cannot be bound.
     */
    message_port(const node_id& self, const curve_keys& keys);
    ~message_port() override;

    bool carry_out(const effect& wanted) override;

    /** Messages that have arrived; frames that are not messages are counted and dropped. */
    std::vector<message> take();

    /** Whether take() would find something. */
    bool has_waiting() const;

    /** A file descriptor to poll before take(); edge-triggered, so take until empty. */
    int poll_fd() const;

    /** Frames dropped since the start because they were malformed. */
    std::uint64_t malformed() const noexcept;

private:
    struct sockets;

    void send(const message& content);

    node_id self_;
    curve_keys keys_;
    std::unique_ptr<sockets> sockets_;
    std::uint64_t malformed_ = 0;
};

} // namespace camphorgrade
