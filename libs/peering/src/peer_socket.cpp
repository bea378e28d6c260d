#include <peering/peer_socket.h>

#include <charconv>
#include <optional>
#include <utility>

namespace camphorgrade::peering {

namespace {

// From a sender that has been silent for this time, a lower incarnation is accepted: the sender may
// have restarted after its clock stepped back.
constexpr duration incarnation_expiry{1'500};

std::optional<boost::asio::ip::udp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::udp::endpoint(ip, port);
}

/** Decodes a message; nullopt unless it is valid and from an address that can be sent to. */
std::optional<peer_message> read_message(std::string_view datagram) {
    auto message = decode(datagram);
    return message && parse_endpoint(message->sender) ? std::move(message) : std::nullopt;
}

} // namespace

peer_socket::peer_socket(boost::asio::io_context& loop, const clock& clock,
                         const boost::asio::ip::udp::endpoint& own, std::uint64_t incarnation,
                         peer_attributes attributes, message_handler on_message)
    : socket_(loop, own), own_address_(own.address().to_string() + ':' +
                                       std::to_string(socket_.local_endpoint().port())),
      incarnation_(incarnation), attributes_(std::move(attributes)),
      on_message_(std::move(on_message)), clock_(clock) {
    socket_.non_blocking(true);
    receive();
}

void peer_socket::send(const std::vector<std::string>& to, peer_body body, relay_options options) {
    if (!to.empty()) {
        send_prepared(to, prepare(std::move(body), options));
    }
}

relayed_report peer_socket::prepare(peer_body body, relay_options options) {
    const peer_message message{own_address_,    incarnation_, ++sequence_,
                               std::move(body), attributes_,  options};
    return {own_address_, incarnation_, message.sequence, message.kind(), encode(message)};
}

void peer_socket::send_prepared(const std::vector<std::string>& to, const relayed_report& report) {
    for (const auto& each : to) {
        if (const auto endpoint = parse_endpoint(each)) {
            boost::system::error_code ignored; // a later report replaces a lost one
            socket_.send_to(boost::asio::buffer(report.datagram), *endpoint, 0, ignored);
        }
    }
}

void peer_socket::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_endpoint_,
                               [this](const boost::system::error_code& error, std::size_t bytes) {
                                   if (error == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!error) {
                                       on_datagram({buffer_.data(), bytes});
                                   }
                                   receive();
                               });
}

void peer_socket::on_datagram(std::string_view datagram) {
    auto message = read_message(datagram);
    if (!message) {
        ++malformed_datagrams_;
        return;
    }
    const auto wire_incarnation = message->incarnation;
    if (!accept(*message)) {
        return;
    }
    on_message_(*message, {true, false, wire_incarnation, datagram});
    if (const auto* bundle = std::get_if<report_bundle>(&message->body)) {
        unpack_bundle(*bundle);
    }
}

void peer_socket::unpack_bundle(const report_bundle& bundle) {
    for (const auto& each : bundle.reports) {
        const auto sender = senders_.find(each.sender);
        if (each.sender == own_address_ ||
            (sender != senders_.end() &&
             is_outdated(sender->second, each.incarnation, each.sequence, each.kind))) {
            continue;
        }
        auto message = read_message(each.datagram);
        if (!message || message->sender != each.sender || message->kind() != each.kind ||
            message->incarnation != each.incarnation || message->sequence != each.sequence) {
            ++malformed_datagrams_;
        } else if (accept(*message)) {
            on_message_(*message,
                        {false, bundle.is_for_data_centre, each.incarnation, each.datagram});
        }
    }
}

bool peer_socket::is_outdated(const sender_state& sender, std::uint64_t incarnation,
                              std::uint64_t sequence, message_kind kind) const {
    if (incarnation != sender.wire_incarnation) {
        return incarnation < sender.wire_incarnation &&
               clock_.now() - sender.last_received < incarnation_expiry;
    }
    // Bundles hold different reports, so a newer bundle does not make an older one obsolete.
    return kind != message_kind::bundle &&
           sequence <= sender.sequences.at(static_cast<std::size_t>(kind));
}

bool peer_socket::accept(peer_message& message) {
    auto& sender = senders_[message.sender];
    if (is_outdated(sender, message.incarnation, message.sequence, message.kind())) {
        return false;
    }
    if (message.incarnation != sender.wire_incarnation) {
        sender.wire_incarnation = message.incarnation;
        sender.sequences = {};
        ++sender.incarnation;
    }
    sender.sequences.at(static_cast<std::size_t>(message.kind())) = message.sequence;
    sender.last_received = clock_.now();
    message.incarnation = sender.incarnation;
    if (auto* report = std::get_if<engine_report>(&message.body)) {
        report->state.agent_incarnation = message.incarnation;
        report->state.sequence = message.sequence;
    }
    return true;
}

} // namespace camphorgrade::peering
