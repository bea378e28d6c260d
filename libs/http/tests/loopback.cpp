#include "loopback.h"

#include <array>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorgrade::testing {

namespace {

constexpr int closed = -1;
constexpr int backlog = 16;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void require(bool condition, const char* what) {
    if (!condition) {
        throw std::runtime_error(what);
    }
}

} // namespace

raw_connection::raw_connection(raw_connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, closed)) {}

raw_connection::~raw_connection() {
    close();
}

raw_connection raw_connection::to(std::uint16_t port) {
    raw_connection connection(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopback(port);
    require(::connect(connection.descriptor_, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) == 0,
            "connect");
    return connection;
}

void raw_connection::send(const std::string& bytes) {
    require(::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()),
            "send");
}

std::string raw_connection::read_until(const std::string& mark) {
    std::string text;
    std::array<char, 4096> block{};
    while (text.find(mark) == std::string::npos) {
        const ssize_t got = ::recv(descriptor_, block.data(), block.size(), 0);
        if (got <= 0) {
            break;
        }
        text.append(block.data(), static_cast<std::size_t>(got));
    }
    return text;
}

void raw_connection::close() {
    if (descriptor_ != closed) {
        ::close(std::exchange(descriptor_, closed));
    }
}

raw_listener::raw_listener() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    require(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), length) == 0, "bind");
    require(::listen(descriptor_, backlog) == 0, "listen");
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
}

raw_listener::~raw_listener() {
    close();
}

raw_connection raw_listener::accept() {
    return raw_connection(::accept(descriptor_, nullptr, nullptr));
}

bool raw_listener::has_caller() const {
    pollfd watch{descriptor_, POLLIN, 0};
    return ::poll(&watch, 1, 0) == 1;
}

void raw_listener::close() {
    if (descriptor_ != closed) {
        ::close(std::exchange(descriptor_, closed));
    }
}

} // namespace camphorgrade::testing
