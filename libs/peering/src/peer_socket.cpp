#include <peering/peer_socket.h>

#include <charconv>
#include <optional>
#include <utility>

namespace camphorgrade::peering {

namespace {

// A sender not heard for so long may come back under a life that its clock names earlier.
constexpr duration life_expiry{1'500};

std::optional<boost::asio::ip::udp::endpoint> parse(const std::string& address) {
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

} // namespace

peer_socket::peer_socket(boost::asio::io_context& loop, const clock& clock,
                         const boost::asio::ip::udp::endpoint& own, std::uint64_t life,
                         peer_attributes identity, message_handler on_message)
    : socket_(loop, own),
      own_(own.address().to_string() + ':' + std::to_string(socket_.local_endpoint().port())),
      life_(life), identity_(std::move(identity)), on_message_(std::move(on_message)),
      clock_(clock) {
    socket_.non_blocking(true);
    receive();
}

void peer_socket::send(const std::vector<std::string>& to, peer_body body, relay_options options) {
    if (!to.empty()) {
        send_prepared(to, prepare(std::move(body), options));
    }
}

relayed_report peer_socket::prepare(peer_body body, relay_options options) {
    const peer_message message{own_, life_, ++sequence_, std::move(body), identity_, options};
    return {own_, life_, message.sequence, message.kind(), encode(message)};
}

void peer_socket::send_prepared(const std::vector<std::string>& to, const relayed_report& report) {
    for (const auto& each : to) {
        if (const auto endpoint = parse(each)) {
            boost::system::error_code ignored; // a lost report is replaced by the next
            socket_.send_to(boost::asio::buffer(report.datagram), *endpoint, 0, ignored);
        }
    }
}

void peer_socket::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_,
                               [this](const boost::system::error_code& error, std::size_t bytes) {
                                   if (error == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!error) {
                                       take({buffer_.data(), bytes});
                                   }
                                   receive();
                               });
}

void peer_socket::take(std::string_view datagram) {
    auto message = decode(datagram);
    if (!message) {
        ++unreadable_;
        return;
    }
    const auto named_life = message->incarnation;
    if (!accept(*message)) {
        return;
    }
    on_message_(*message, {true, false, named_life, datagram});
    if (const auto* bundle = std::get_if<report_bundle>(&message->body)) {
        open(*bundle);
    }
}

void peer_socket::open(const report_bundle& bundle) {
    for (const auto& each : bundle.reports) {
        const auto known = senders_.find(each.sender);
        if (each.sender == own_ ||
            (known != senders_.end() &&
             is_outdated(known->second, each.incarnation, each.sequence, each.kind))) {
            continue;
        }
        auto message = decode(each.datagram);
        if (!message || message->sender != each.sender || message->kind() != each.kind ||
            message->incarnation != each.incarnation || message->sequence != each.sequence) {
            ++unreadable_;
        } else if (accept(*message)) {
            on_message_(*message,
                        {false, bundle.is_for_data_centre, each.incarnation, each.datagram});
        }
    }
}

bool peer_socket::is_outdated(const known_sender& known, std::uint64_t life, std::uint64_t sequence,
                              message_kind kind) const {
    if (life != known.named_life) {
        return life < known.named_life && clock_.now() - known.heard < life_expiry;
    }
    // A bundle replaces no other one.
    return kind != message_kind::bundle &&
           sequence <= known.sequences.at(static_cast<std::size_t>(kind));
}

bool peer_socket::accept(peer_message& message) {
    auto& known = senders_[message.sender];
    if (is_outdated(known, message.incarnation, message.sequence, message.kind())) {
        return false;
    }
    if (message.incarnation != known.named_life) {
        known.named_life = message.incarnation;
        known.sequences = {};
        ++known.life;
    }
    known.sequences.at(static_cast<std::size_t>(message.kind())) = message.sequence;
    known.heard = clock_.now();
    message.incarnation = known.life;
    if (auto* report = std::get_if<engine_report>(&message.body)) {
        report->state.agent_incarnation = message.incarnation;
        report->state.sequence = message.sequence;
    }
    return true;
}

} // namespace camphorgrade::peering
