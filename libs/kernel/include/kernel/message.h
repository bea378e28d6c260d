#pragma once

#include <kernel/ids.h>

#include <string>

namespace camphorgrade {

/**
 * A message from a service of one node to the service with the same protocol in another node.
 *
 * `payload` is a serialized protobuf message whose type `service` defines. The network may lose,
 * delay, duplicate and reorder messages. A value type.
 */
struct message {
    node_id from;
    incarnation from_incarnation; /**< Incarnation of the sender at the time of sending. */
    node_id to;
    std::string service; /**< Name of the receiving service. */
    std::string payload;

    friend bool operator==(const message&, const message&) = default;
};

} // namespace camphorgrade
