#include <node/message_port.h>

#include <wire/envelope.pb.h>
#include <zmq.hpp>

#include <map>
#include <utility>

namespace camphorgrade {

namespace {

constexpr int max_queued_messages = 10'000;
constexpr std::int64_t max_message_bytes = 32LL * 1024 * 1024;
constexpr int reconnect_ms = 50;
constexpr int reconnect_max_ms = 1'000;
constexpr int heartbeat_ms = 1'000;
constexpr int heartbeat_timeout_ms = 3'000;

} // namespace

struct message_port::sockets {
    zmq::context_t context{1};
    zmq::socket_t incoming{context, zmq::socket_type::router};
    std::map<node_id, zmq::socket_t> outgoing;

    zmq::socket_t& to(const node_id& peer, const curve_keys& keys) {
        const auto found = outgoing.find(peer);
        if (found != outgoing.end()) {
            return found->second;
        }
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, max_queued_messages);
        socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
        socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
        if (!keys.own_secret.empty()) {
            socket.set(zmq::sockopt::curve_publickey, keys.own_public);
            socket.set(zmq::sockopt::curve_secretkey, keys.own_secret);
            socket.set(zmq::sockopt::curve_serverkey, keys.fleet_public);
        }
        socket.connect("tcp://" + peer.value());
        return outgoing.emplace(peer, std::move(socket)).first->second;
    }
};

message_port::message_port(const node_id& self, const curve_keys& keys)
    : self_(self), keys_(keys), sockets_(std::make_unique<sockets>()) {
    auto& incoming = sockets_->incoming;
    incoming.set(zmq::sockopt::linger, 0);
    incoming.set(zmq::sockopt::rcvhwm, max_queued_messages);
    incoming.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    if (!keys_.own_secret.empty()) {
        incoming.set(zmq::sockopt::curve_server, true);
        incoming.set(zmq::sockopt::curve_secretkey, keys_.own_secret);
    }
    incoming.bind("tcp://" + self_.value());
}

message_port::~message_port() = default;

bool message_port::carry_out(const effect& wanted) {
    const auto* sent = std::get_if<send_message>(&wanted);
    if (sent == nullptr) {
        return false;
    }
    send(sent->content);
    return true;
}

void message_port::send(const message& content) {
    wire::envelope frame;
    frame.set_from(content.from.value());
    frame.set_from_incarnation(content.from_incarnation.value());
    frame.set_service(content.service);
    frame.set_payload(content.payload);
    // A full queue drops the message; every protocol here resends what must arrive.
    [[maybe_unused]] const auto queued =
        sockets_->to(content.to, keys_)
            .send(zmq::buffer(frame.SerializeAsString()), zmq::send_flags::dontwait);
}

std::vector<message> message_port::take() {
    std::vector<message> arrived;
    zmq::message_t part;
    while (sockets_->incoming.recv(part, zmq::recv_flags::dontwait)) {
        if (part.more()) {
            continue; // the routing identity, which the envelope makes needless
        }
        wire::envelope frame;
        if (!frame.ParseFromArray(part.data(), static_cast<int>(part.size()))) {
            ++malformed_;
            continue;
        }
        arrived.push_back({node_id{frame.from()}, incarnation{frame.from_incarnation()}, self_,
                           frame.service(), std::move(*frame.mutable_payload())});
    }
    return arrived;
}

bool message_port::has_waiting() const {
    return (sockets_->incoming.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

int message_port::poll_fd() const {
    return sockets_->incoming.get(zmq::sockopt::fd);
}

std::uint64_t message_port::malformed() const noexcept {
    return malformed_;
}

} // namespace camphorgrade
