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
                         receiver on_message)
    : socket_(loop, own),
      own_(own.address().to_string() + ':' + std::to_string(socket_.local_endpoint().port())),
      life_(life), on_message_(std::move(on_message)), clock_(clock) {
    socket_.non_blocking(true);
    receive();
}

void peer_socket::send(const std::vector<std::string>& to, peer_body body) {
    if (to.empty()) {
        return;
    }
    const auto bytes = encode({own_, life_, ++sequence_, std::move(body)});
    for (const auto& each : to) {
        if (const auto endpoint = parse(each)) {
            boost::system::error_code ignored; // a lost report is replaced by the next
            socket_.send_to(boost::asio::buffer(bytes), *endpoint, 0, ignored);
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
                                       take(bytes);
                                   }
                                   receive();
                               });
}

void peer_socket::take(std::size_t bytes) {
    auto message = decode({buffer_.data(), bytes});
    if (message && accept(*message)) {
        on_message_(*message);
    }
}

bool peer_socket::accept(peer_message& message) {
    const auto now = clock_.now();
    auto& known = senders_[message.sender];
    const bool is_earlier = message.life < known.named_life;
    if (is_earlier && now - known.heard < life_expiry) {
        return false;
    }
    if (message.life != known.named_life) {
        known.named_life = message.life;
        known.sequence = 0;
        ++known.life;
    }
    if (message.sequence <= known.sequence) {
        return false;
    }
    known.sequence = message.sequence;
    known.heard = now;
    message.life = known.life;
    if (auto* report = std::get_if<engine_report>(&message.body)) {
        report->state.agent_life = message.life;
        report->state.sequence = message.sequence;
    }
    return true;
}

} // namespace camphorgrade::peering
