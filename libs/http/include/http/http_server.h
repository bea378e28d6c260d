#pragma once

#include <http/http_server_settings.h>
#include <http/request_handler.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>

namespace camphorgrade {

/** Why a server could not start or take a new certificate. */
enum class http_server_error {
    cannot_listen,  /**< Address in use or not ours. */
    bad_certificate /**< The certificate file cannot be read, or key and certificate differ. */
};

/**
 * HTTP/1.1 server on CivetWeb: hands complete, checked requests to a request_handler.
 *
 * A caller that closes its connection, also only its sending half, counts as gone. Thread safe
 * but for start and destruction. `handler` and `formatter` must outlive the server.
 *
 * @code
 * camphorgrade::http_server_settings settings;
 * settings.port = 8080;
 * auto server = camphorgrade::http_server::start(settings, handler, formatter);
 * @endcode
 */
class http_server {
public:
    /** Binds and serves. Fails with an http_server_error. */
    static boost::leaf::result<std::unique_ptr<http_server>>
    start(const http_server_settings& settings, request_handler& handler,
          const fault_formatter& formatter);

    /** Stops like stop(). */
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Port in use; the one picked when the settings said 0. */
    std::uint16_t bound_port() const noexcept;

    /** Requests that were handed on and are not answered yet. */
    std::size_t open_exchanges() const;

    /**
     * Reads the certificate file again; connections made from then on use it. Fails with
     * http_server_error::bad_certificate and keeps the old one. Precondition: TLS is on.
     */
    boost::leaf::result<void> reload_certificate();

    /** Cuts what is open, reports it as lost, and joins all threads. Idempotent. */
    void stop();

private:
    class implementation;
    explicit http_server(std::unique_ptr<implementation> started);

    std::unique_ptr<implementation> implementation_;
};

} // namespace camphorgrade
