#pragma once

#include <kernel/ids.h>

#include <string>

namespace camphorgrade {

/**
 * What one service sends to the service of the same protocol in another process.
 *
 * `payload` is a serialized protobuf message whose type belongs to `service`. The network may lose,
 * delay, repeat and reorder messages. A value type.
 */
struct message {
    node_id from;
    incarnation from_incarnation; /**< The life of the sender that sent it. */
    node_id to;
    std::string service; /**< Name of the receiving service. */
    std::string payload;

    friend bool operator==(const message&, const message&) = default;
};

} // namespace camphorgrade
