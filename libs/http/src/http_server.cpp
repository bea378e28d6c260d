#include "civetweb_server.h"
#include "tls_front.h"

#include <http/http_server.h>
#include <kernel/check.h>

#include <boost/leaf/error.hpp>

#include <utility>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

/** Behind a TLS front, the plain server is for this process alone. */
http_server_settings behind_front(http_server_settings settings) {
    if (!settings.certificate_path.empty()) {
        settings.address = "127.0.0.1";
        settings.port = 0;
    }
    return settings;
}

} // namespace

/** The plain server, and the TLS front before it when there is a certificate. */
class http_server::implementation {
public:
    implementation(const http_server_settings& settings, request_handler& handler,
                   const fault_formatter& formatter)
        : settings_(settings), plain_(behind_front(settings), handler, formatter) {}

    ~implementation() { stop(); }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    leaf::result<void> start() {
        if (!plain_.listen()) {
            return leaf::new_error(http_server_error::cannot_listen);
        }
        if (settings_.certificate_path.empty()) {
            return {};
        }
        front_ = std::make_unique<tls_front>(plain_.bound_port(), settings_.max_connections,
                                             settings_.request_timeout);
        if (!front_->load_certificate(settings_.certificate_path)) {
            return leaf::new_error(http_server_error::bad_certificate);
        }
        if (!front_->listen(settings_.address, settings_.port)) {
            return leaf::new_error(http_server_error::cannot_listen);
        }
        return {};
    }

    leaf::result<void> reload_certificate() {
        CAMPHOR_PRECONDITION(front_ != nullptr);
        if (!front_->load_certificate(settings_.certificate_path)) {
            return leaf::new_error(http_server_error::bad_certificate);
        }
        return {};
    }

    std::uint16_t bound_port() const noexcept {
        return front_ != nullptr ? front_->bound_port() : plain_.bound_port();
    }

    std::size_t open_exchanges() const { return plain_.open_exchanges(); }

    void stop() {
        if (front_ != nullptr) {
            front_->stop();
        }
        plain_.stop();
    }

private:
    const http_server_settings settings_;
    civetweb_server plain_;
    std::unique_ptr<tls_front> front_;
};

http_server::http_server(std::unique_ptr<implementation> started)
    : implementation_(std::move(started)) {}

http_server::~http_server() = default;

leaf::result<std::unique_ptr<http_server>> http_server::start(const http_server_settings& settings,
                                                              request_handler& handler,
                                                              const fault_formatter& formatter) {
    CAMPHOR_PRECONDITION(settings.max_connections > 0);
    auto started = std::make_unique<implementation>(settings, handler, formatter);
    if (auto outcome = started->start(); !outcome) {
        return outcome.error();
    }
    return std::unique_ptr<http_server>(new http_server(std::move(started)));
}

std::uint16_t http_server::bound_port() const noexcept {
    return implementation_->bound_port();
}

std::size_t http_server::open_exchanges() const {
    return implementation_->open_exchanges();
}

leaf::result<void> http_server::reload_certificate() {
    return implementation_->reload_certificate();
}

void http_server::stop() {
    implementation_->stop();
}

} // namespace camphorgrade
