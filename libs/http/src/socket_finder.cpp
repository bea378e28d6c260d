#include "socket_finder.h"

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace camphorgrade {

namespace {

constexpr int not_found = -1;

/** After so many descriptors that are closed, none above is taken to be open. */
constexpr int most_closed_in_a_row = 1024;

struct socket_name {
    std::string address;
    std::uint16_t port = 0;
};

using name_call = int (*)(int, sockaddr*, socklen_t*);

socket_name name_of(int descriptor, name_call call) {
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    if (call(descriptor, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        sockaddr_in v4{};
        std::memcpy(&v4, &storage, sizeof v4);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return {text.data(), ntohs(v4.sin_port)};
    }
    if (storage.ss_family == AF_INET6) {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &storage, sizeof v6);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(v6.sin6_port)};
    }
    return {};
}

int peer_name(int descriptor, sockaddr* address, socklen_t* length) {
    return ::getpeername(descriptor, address, length);
}

int local_name(int descriptor, sockaddr* address, socklen_t* length) {
    return ::getsockname(descriptor, address, length);
}

bool is_listening(int descriptor) {
    int value = 0;
    socklen_t length = sizeof value;
    return ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &value, &length) == 0 && value != 0;
}

/** First open descriptor that `matches`; the system hands out the lowest that is free. */
template <typename Predicate>
int find_descriptor(Predicate matches) {
    int closed_in_a_row = 0;
    for (int descriptor = 0; closed_in_a_row < most_closed_in_a_row; ++descriptor) {
        errno = 0;
        if (matches(descriptor)) {
            return descriptor;
        }
        closed_in_a_row = errno == EBADF ? closed_in_a_row + 1 : 0;
    }
    return not_found;
}

} // namespace

int find_connected_socket(const std::string& peer_address, std::uint16_t peer_port,
                          std::uint16_t local_port, const std::set<int>& others) {
    return find_descriptor([&](int descriptor) {
        if (others.contains(descriptor)) {
            return false;
        }
        const socket_name peer = name_of(descriptor, peer_name);
        return peer.port == peer_port && peer.address == peer_address &&
               name_of(descriptor, local_name).port == local_port;
    });
}

int find_listening_socket(std::uint16_t local_port) {
    return find_descriptor([&](int descriptor) {
        return is_listening(descriptor) && name_of(descriptor, local_name).port == local_port;
    });
}

} // namespace camphorgrade
