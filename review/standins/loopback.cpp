#include "loopback.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <stdexcept>
#include <thread>

namespace camphorgrade::review {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 16'000'000;
constexpr int first_network = 16;
constexpr int network_count = 200;

void reset_socket(tcp::socket& socket) {
    error_code ignored; // the socket may be closed already
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void shut_down(tcp::socket& socket) {
    error_code ignored; // the socket may be closed already
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

} // namespace

std::int64_t now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 start)
        .count();
}

std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void record::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << std::to_string(unix_ms()) + ' ' + text + '\n' << std::flush;
}

std::string exchange::parameter(const std::string& name) const {
    const std::string target(request_.target());
    const auto at = target.find(name + '=');
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

void exchange::answer(int status, const headers& fields, const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : fields) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    send(out);
}

bool exchange::send(const std::string& bytes) {
    error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
}

void exchange::close_orderly() {
    error_code ignored; // the other side may have closed already
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
}

void exchange::reset() {
    reset_socket(socket_);
}

bool exchange::is_abandoned() const {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

http_server::http_server(const std::string& ip, std::uint16_t port, handler on_request)
    : handler_(std::move(on_request)), acceptor_(loop_, {boost::asio::ip::make_address(ip), port}),
      port_(acceptor_.local_endpoint().port()) {
    std::thread([this] { accept(); }).detach();
}

void http_server::stop() {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    for (const auto& each : open_) {
        error_code ignored; // the connection's thread may have closed it
        each->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        shut_down(*each);
    }
}

void http_server::start() {
    const std::lock_guard lock(mutex_);
    is_stopped_ = false;
}

void http_server::accept() {
    for (;;) {
        error_code error;
        auto socket = std::make_shared<tcp::socket>(acceptor_.accept(error));
        if (error) {
            return;
        }
        const std::lock_guard lock(mutex_);
        if (is_stopped_) {
            reset_socket(*socket);
            continue;
        }
        open_.insert(socket);
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void http_server::serve(const std::shared_ptr<tcp::socket>& socket) {
    error_code error;
    socket->set_option(tcp::no_delay(true), error);
    boost::beast::flat_buffer buffer;
    while (socket->is_open()) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        http::read(*socket, buffer, parser, error);
        if (error) {
            break;
        }
        exchange received(*socket, parser.get());
        handler_(received);
    }
    const std::lock_guard lock(mutex_);
    open_.erase(socket);
    socket->close(error);
}

reply call(const std::string& ip, std::uint16_t port, const std::string& head,
           const std::string& body, std::int64_t timeout_ms) {
    boost::asio::io_context loop;
    boost::beast::tcp_stream stream(loop);
    stream.expires_after(std::chrono::milliseconds(timeout_ms));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    reply out;
    const std::string bytes =
        head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    stream.async_connect(
        tcp::endpoint(boost::asio::ip::make_address(ip), port), [&](const error_code& failed) {
            if (failed) {
                return;
            }
            boost::asio::async_write(stream, boost::asio::buffer(bytes),
                                     [](const error_code&, std::size_t) {});
            http::async_read_header(
                stream, buffer, parser, [&](const error_code& no_head, std::size_t) {
                    if (no_head) {
                        return;
                    }
                    out.head_at = now_ms();
                    http::async_read(
                        stream, buffer, parser, [&](const error_code& error, std::size_t) {
                            if (!error) {
                                out.status = static_cast<int>(parser.get().result_int());
                            }
                        });
                });
        });
    loop.run();
    for (const auto& each : parser.get()) {
        out.headers[lower_case(std::string(each.name_string()))] = std::string(each.value());
    }
    out.body = parser.get().body();
    return out;
}

int find_free_network(std::uint16_t port) {
    boost::asio::io_context loop;
    for (int attempt = 0; attempt < network_count; ++attempt) {
        const int network = first_network + (getpid() + attempt) % network_count;
        const auto ip = "127." + std::to_string(network) + ".1.1";
        error_code error;
        tcp::acceptor probe(loop);
        probe.open(tcp::v4());
        probe.bind({boost::asio::ip::make_address(ip), port}, error);
        if (!error) {
            return network;
        }
    }
    throw std::runtime_error("no free part of the loopback network");
}

} // namespace camphorgrade::review
