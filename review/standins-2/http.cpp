#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

constexpr std::size_t read_bytes = 65'536;
constexpr int ethernet_segment_bytes = 1'460;

sockaddr_in address_of(const std::string& ip, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + ip);
    }
    return out;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

void set_option(int descriptor, int level, int name, int value) {
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof value));
}

} // namespace

std::string http_message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string http_message::word(std::size_t index) const {
    std::istringstream words(first_line);
    std::string out;
    for (std::size_t i = 0; i <= index; ++i) {
        out.clear();
        words >> out;
    }
    return out;
}

int http_message::status() const {
    return std::atoi(word(1).c_str());
}

connection::~connection() {
    ::close(descriptor_);
}

bool connection::fill() {
    std::array<char, read_bytes> bytes{};
    const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count > 0) {
        buffer_.append(bytes.data(), static_cast<std::size_t>(count));
        return true;
    }
    const bool is_timeout = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    last_end_ = count == 0 ? read_end::closed : is_timeout ? read_end::timed_out : read_end::reset;
    return false;
}

std::optional<std::string> connection::take_line() {
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
        end = buffer_.find("\r\n");
    }
    auto line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

read_end connection::take_bytes(std::size_t count, std::string& out) {
    while (buffer_.size() < count) {
        if (!fill()) {
            out += std::exchange(buffer_, {});
            return last_end_;
        }
    }
    out.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return read_end::complete;
}

read_end connection::read_head(http_message& out) {
    out = {};
    auto line = take_line();
    if (!line) {
        return last_end_;
    }
    out.first_line = *line;
    while ((line = take_line())) {
        if (line->empty()) {
            return read_end::complete;
        }
        const auto colon = line->find(':');
        const auto begin = line->find_first_not_of(' ', colon + 1);
        out.headers[lower(line->substr(0, colon))] =
            begin == std::string::npos ? std::string{} : line->substr(begin);
    }
    return last_end_;
}

read_end connection::read_body(http_message& message, bool until_close) {
    if (message.header("transfer-encoding") == "chunked") {
        while (true) {
            const auto size = take_line();
            if (!size) {
                return last_end_;
            }
            const auto count = static_cast<std::size_t>(std::strtoull(size->c_str(), nullptr, 16));
            const auto end = take_bytes(count, message.body);
            if (end != read_end::complete) {
                return end;
            }
            if (!take_line()) {
                return last_end_;
            }
            if (count == 0) {
                return read_end::complete;
            }
        }
    }
    const auto length = message.header("content-length");
    if (!length.empty()) {
        return take_bytes(static_cast<std::size_t>(std::strtoull(length.c_str(), nullptr, 10)),
                          message.body);
    }
    while (until_close && fill()) {
    }
    message.body += std::exchange(buffer_, {});
    return until_close && last_end_ != read_end::closed ? last_end_ : read_end::complete;
}

std::string connection::receive(std::size_t max_bytes, read_end& end) {
    std::string out(max_bytes, '\0');
    const auto count = ::recv(descriptor_, out.data(), out.size(), 0);
    end = count > 0 ? read_end::complete : count == 0 ? read_end::closed : read_end::reset;
    out.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return out;
}

bool connection::write(std::string_view bytes) const {
    while (!bytes.empty()) {
        const auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

void connection::set_timeout(std::chrono::milliseconds timeout) const {
    timeval value{};
    value.tv_sec = timeout.count() / 1'000;
    value.tv_usec = (timeout.count() % 1'000) * 1'000;
    static_cast<void>(::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value));
}

void connection::abort() const {
    static_cast<void>(::shutdown(descriptor_, SHUT_RDWR));
}

std::unique_ptr<connection> connect_to(const std::string& ip, std::uint16_t port,
                                       int receive_bytes) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_bytes > 0) {
        set_option(descriptor, SOL_SOCKET, SO_RCVBUF, receive_bytes);
        set_option(descriptor, IPPROTO_TCP, TCP_MAXSEG, ethernet_segment_bytes);
    }
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    const auto address = address_of(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

http_server::http_server(const std::string& ip, std::uint16_t port, handler handle)
    : listener_(::socket(AF_INET, SOCK_STREAM, 0)), handle_(std::move(handle)) {
    set_option(listener_, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto address = address_of(ip, port);
    constexpr int backlog = 256;
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, backlog) != 0) {
        ::close(listener_);
        throw std::runtime_error("cannot listen at " + ip + ':' + std::to_string(port));
    }
    acceptor_ = std::thread([this] { accept_all(); });
}

http_server::~http_server() {
    stop();
    for (auto& each : threads_) {
        each.join();
    }
}

void http_server::stop() {
    if (is_stopped_.exchange(true)) {
        return;
    }
    static_cast<void>(::shutdown(listener_, SHUT_RDWR));
    acceptor_.join();
    ::close(listener_);
    const std::lock_guard lock(mutex_);
    for (const auto& each : open_) {
        each->abort();
    }
}

void http_server::accept_all() {
    while (!is_stopped_) {
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0) {
            continue;
        }
        set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        auto accepted = std::make_shared<connection>(descriptor);
        const std::lock_guard lock(mutex_);
        if (!is_stopped_) {
            open_.insert(accepted);
            threads_.emplace_back([this, accepted] { serve(accepted); });
        }
    }
}

void http_server::serve(const std::shared_ptr<connection>& accepted) {
    http_message request;
    while (accepted->read_head(request) == read_end::complete &&
           accepted->read_body(request, false) == read_end::complete &&
           handle_(*accepted, request)) {
    }
    accepted->abort();
    const std::lock_guard lock(mutex_);
    open_.erase(accepted);
}

std::string response_text(int status, const std::map<std::string, std::string>& headers,
                          std::string_view body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

} // namespace review
