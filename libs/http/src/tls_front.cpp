#include "tls_front.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace camphorgrade {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t block_bytes = std::size_t{16} * 1024;
constexpr std::size_t front_threads = 2;

/** Connections beyond those served, so that the plain server can refuse them over TLS. */
constexpr std::size_t refusal_connections = 4;

/** How long a caller may take to answer that the connection ends. */
constexpr duration close_timeout{1'000};

constexpr duration accept_retry{100};

using block = std::array<char, block_bytes>;

/** One connection: bytes from the caller to the plain server and back. Runs on its strand. */
class relay final : public std::enable_shared_from_this<relay> {
public:
    relay(tcp::socket caller, std::shared_ptr<asio::ssl::context> tls)
        : tls_(std::move(tls)), caller_(std::move(caller), *tls_), plain_(caller_.get_executor()),
          timer_(caller_.get_executor()) {}

    void start(const tcp::endpoint& plain, duration handshake_timeout) {
        error_code ignored;
        caller_.next_layer().set_option(tcp::no_delay(true), ignored);
        limit(handshake_timeout);
        caller_.async_handshake(asio::ssl::stream_base::server,
                                [self = shared_from_this(), plain](error_code error) {
                                    self->timer_.cancel();
                                    error ? self->close() : self->connect(plain);
                                });
    }

    /** Ends the connection at once. Thread safe. */
    void cut() {
        asio::post(caller_.get_executor(), [self = shared_from_this()] { self->close(); });
    }

private:
    void limit(duration time) {
        timer_.expires_after(time);
        timer_.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->close();
            }
        });
    }

    void connect(const tcp::endpoint& plain) {
        plain_.async_connect(plain, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            error_code ignored;
            self->plain_.set_option(tcp::no_delay(true), ignored);
            self->read_caller();
            self->read_plain();
        });
    }

    void read_caller() {
        caller_.async_read_some(asio::buffer(from_caller_),
                                [self = shared_from_this()](error_code error, std::size_t size) {
                                    error ? self->close() : self->write_plain(size);
                                });
    }

    void write_plain(std::size_t size) {
        asio::async_write(plain_, asio::buffer(from_caller_.data(), size),
                          [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                              error ? self->close() : self->read_caller();
                          });
    }

    void read_plain() {
        plain_.async_read_some(asio::buffer(from_plain_),
                               [self = shared_from_this()](error_code error, std::size_t size) {
                                   error ? self->say_goodbye() : self->write_caller(size);
                               });
    }

    void write_caller(std::size_t size) {
        asio::async_write(caller_, asio::buffer(from_plain_.data(), size),
                          [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                              error ? self->close() : self->read_plain();
                          });
    }

    /** The plain server has ended the connection: tells the caller, in bounded time. */
    void say_goodbye() {
        limit(close_timeout);
        caller_.async_shutdown(
            [self = shared_from_this()](error_code /*error*/) { self->close(); });
    }

    void close() {
        error_code ignored;
        timer_.cancel();
        caller_.next_layer().close(ignored);
        plain_.close(ignored);
    }

    const std::shared_ptr<asio::ssl::context> tls_;
    asio::ssl::stream<tcp::socket> caller_;
    tcp::socket plain_;
    asio::steady_timer timer_;
    block from_caller_{};
    block from_plain_{};
};

/** The contents of a PEM file; empty when it is unreadable or key and certificate differ. */
std::shared_ptr<asio::ssl::context> read_certificate(const std::string& path) {
    auto tls = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    tls->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    error_code error;
    tls->use_certificate_chain_file(path, error);
    if (!error) {
        tls->use_private_key_file(path, asio::ssl::context::pem, error);
    }
    const bool fits = !error && SSL_CTX_check_private_key(tls->native_handle()) == 1;
    return fits ? tls : nullptr;
}

} // namespace

class tls_front::implementation {
public:
    implementation(std::uint16_t plain_port, std::size_t max_connections,
                   duration handshake_timeout)
        : plain_(asio::ip::address_v4::loopback(), plain_port),
          max_connections_(max_connections + refusal_connections),
          handshake_timeout_(handshake_timeout), acceptor_(asio::make_strand(context_)),
          retry_(acceptor_.get_executor()) {}

    bool load_certificate(const std::string& path) {
        auto fresh = read_certificate(path);
        if (fresh == nullptr) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        tls_ = std::move(fresh);
        return true;
    }

    bool listen(const std::string& address, std::uint16_t port) {
        error_code error;
        const tcp::endpoint endpoint(asio::ip::make_address(address, error), port);
        if (error || acceptor_.open(endpoint.protocol(), error) ||
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error) ||
            acceptor_.bind(endpoint, error) ||
            acceptor_.listen(tcp::acceptor::max_listen_connections, error)) {
            return false;
        }
        bound_port_ = acceptor_.local_endpoint(error).port();
        accept();
        for (std::size_t i = 0; i < front_threads; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
        return true;
    }

    std::uint16_t bound_port() const noexcept { return bound_port_; }

    void stop() {
        {
            const std::lock_guard lock(mutex_);
            is_stopped_ = true;
            asio::post(acceptor_.get_executor(), [this] { close_acceptor(); });
            for (const std::weak_ptr<relay>& each : relays_) {
                if (const auto open = each.lock()) {
                    open->cut();
                }
            }
        }
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

private:
    void close_acceptor() {
        error_code ignored;
        acceptor_.close(ignored);
        retry_.cancel();
    }

    void accept() {
        if (!acceptor_.is_open()) {
            return;
        }
        acceptor_.async_accept(asio::make_strand(context_),
                               [this](error_code error, tcp::socket caller) {
                                   if (error) {
                                       accept_later();
                                       return;
                                   }
                                   take(std::move(caller));
                                   accept();
                               });
    }

    /** After a failure to accept, such as too few descriptors. */
    void accept_later() {
        if (!acceptor_.is_open()) {
            return;
        }
        retry_.expires_after(accept_retry);
        retry_.async_wait([this](error_code error) {
            if (!error) {
                accept();
            }
        });
    }

    void take(tcp::socket caller) {
        const std::lock_guard lock(mutex_);
        std::erase_if(relays_, [](const std::weak_ptr<relay>& each) { return each.expired(); });
        if (is_stopped_ || relays_.size() >= max_connections_) {
            return;
        }
        const auto added = std::make_shared<relay>(std::move(caller), tls_);
        relays_.push_back(added);
        added->start(plain_, handshake_timeout_);
    }

    const tcp::endpoint plain_;
    const std::size_t max_connections_;
    const duration handshake_timeout_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    std::uint16_t bound_port_ = 0;
    std::vector<std::thread> threads_;

    std::mutex mutex_;
    std::shared_ptr<asio::ssl::context> tls_;
    std::vector<std::weak_ptr<relay>> relays_;
    bool is_stopped_ = false;
};

tls_front::tls_front(std::uint16_t plain_port, std::size_t max_connections,
                     duration handshake_timeout)
    : implementation_(
          std::make_unique<implementation>(plain_port, max_connections, handshake_timeout)) {}

tls_front::~tls_front() {
    stop();
}

bool tls_front::load_certificate(const std::string& path) {
    return implementation_->load_certificate(path);
}

bool tls_front::listen(const std::string& address, std::uint16_t port) {
    return implementation_->listen(address, port);
}

std::uint16_t tls_front::bound_port() const noexcept {
    return implementation_->bound_port();
}

void tls_front::stop() {
    implementation_->stop();
}

} // namespace camphorgrade
