#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace camphorgrade {

/**
 * Ends TLS before a plain server of the same process: passes the bytes of each connection on to a
 * port on loopback, and back. Holds one block in each direction, so a slow reader slows the plain
 * server, whose bounds then apply. Either side's end is the end of both.
 *
 * CivetWeb's own TLS does not work with OpenSSL 3: it asks for SSL_get_peer_certificate, which
 * that version does not have. Thread safe but for listen() and destruction.
 */
class tls_front {
public:
    /** `handshake_timeout` bounds how long a caller may take to come to terms. */
    tls_front(std::uint16_t plain_port, std::size_t max_connections, duration handshake_timeout);

    /** Stops like stop(). */
    ~tls_front();

    tls_front(const tls_front&) = delete;
    tls_front& operator=(const tls_front&) = delete;

    /** Takes the certificate and key in a PEM file for new connections; false keeps the old. */
    bool load_certificate(const std::string& path);

    /** Binds and serves; false when that is not possible. Precondition: has a certificate. */
    bool listen(const std::string& address, std::uint16_t port);

    std::uint16_t bound_port() const noexcept;

    /** Cuts all connections, and joins all threads. Idempotent. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace camphorgrade
