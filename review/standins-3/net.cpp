#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>

namespace review {

namespace {

constexpr int backlog = 512;
constexpr int first_network = 20;
constexpr int network_count = 200;
constexpr std::uint16_t probe_port = 8'221;
constexpr int server_idle_timeout_ms = 120'000;

sockaddr_in address_of(const endpoint& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

bool bind_to(int socket, const endpoint& at) {
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto address = address_of(at);
    return ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

bool wait_for(int socket, short events, std::int64_t timeout_ms) {
    pollfd waited{socket, events, 0};
    return ::poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(timeout_ms, 0))) > 0;
}

std::string decode_query(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits(text.substr(i + 1, 2));
            out += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string word(const std::string& line, int number) {
    std::size_t begin = 0;
    for (int i = 0; i < number; ++i) {
        const auto space = line.find(' ', begin);
        if (space == std::string::npos) {
            return {};
        }
        begin = space + 1;
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

const char* reason(int status) {
    return status < 300 ? "OK" : "Refused";
}

} // namespace

std::string find_header(const header_list& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), key.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string http_message::method() const {
    return word(start_line, 0);
}

std::string http_message::target() const {
    return word(start_line, 1);
}

std::string http_message::path() const {
    const auto whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string http_message::query(std::string_view name) const {
    const auto whole = target();
    auto at = whole.find('?');
    while (at != std::string::npos) {
        const auto end = whole.find('&', at + 1);
        const auto part = whole.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos && part.substr(0, equals) == name) {
            return decode_query(std::string_view(part).substr(equals + 1));
        }
        at = end;
    }
    return {};
}

int http_message::status() const {
    return std::atoi(word(start_line, 1).c_str());
}

connection::connection(connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), input_(std::move(other.input_)) {}

connection& connection::operator=(connection&& other) noexcept {
    if (this != &other) {
        close();
        socket_ = std::exchange(other.socket_, -1);
        input_ = std::move(other.input_);
    }
    return *this;
}

std::optional<connection> connection::open(const endpoint& to, int timeout_ms,
                                           const std::string& from) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connection out(socket);
    if (socket < 0 || (!from.empty() && !bind_to(socket, {from, 0}))) {
        return std::nullopt;
    }
    const int flags = ::fcntl(socket, F_GETFL);
    ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    const auto address = address_of(to);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        (errno != EINPROGRESS || !wait_for(socket, POLLOUT, timeout_ms))) {
        return std::nullopt;
    }
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        return std::nullopt;
    }
    ::fcntl(socket, F_SETFL, flags);
    const int yes = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return out;
}

bool connection::write(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto written = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool connection::fill(int timeout_ms) {
    if (!wait_for(socket_, POLLIN, timeout_ms)) {
        return false;
    }
    std::array<char, 65'536> part{};
    const auto count = ::recv(socket_, part.data(), part.size(), 0);
    if (count <= 0) {
        return false;
    }
    input_.append(part.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> connection::read_line(int timeout_ms) {
    auto end = input_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(timeout_ms)) {
            return std::nullopt;
        }
        end = input_.find("\r\n");
    }
    auto out = input_.substr(0, end);
    input_.erase(0, end + 2);
    return out;
}

std::optional<std::string> connection::read_exactly(std::size_t size, int timeout_ms) {
    while (input_.size() < size) {
        if (!fill(timeout_ms)) {
            return std::nullopt;
        }
    }
    auto out = input_.substr(0, size);
    input_.erase(0, size);
    return out;
}

std::optional<http_message> connection::read_head(int timeout_ms) {
    http_message out;
    auto line = read_line(timeout_ms);
    if (!line) {
        return std::nullopt;
    }
    out.start_line = *std::move(line);
    while ((line = read_line(timeout_ms)) && !line->empty()) {
        const auto colon = line->find(':');
        auto value = colon == std::string::npos ? std::string{} : line->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out.headers.emplace_back(line->substr(0, colon), std::move(value));
    }
    return line ? std::optional(std::move(out)) : std::nullopt;
}

std::string connection::read_chunk(int timeout_ms, bool& is_last) {
    is_last = false;
    const auto line = read_line(timeout_ms);
    if (!line) {
        return {};
    }
    const auto size = static_cast<std::size_t>(std::strtoul(line->c_str(), nullptr, 16));
    auto bytes = read_exactly(size + 2, timeout_ms);
    if (!bytes) {
        return {};
    }
    is_last = size == 0;
    bytes->resize(size);
    return *std::move(bytes);
}

void connection::read_body(http_message& message, int timeout_ms) {
    if (message.header("Transfer-Encoding") == "chunked") {
        bool is_last = false;
        for (auto part = read_chunk(timeout_ms, is_last); !part.empty() && !is_last;
             part = read_chunk(timeout_ms, is_last)) {
            message.body += part;
        }
        message.is_complete = is_last;
        return;
    }
    const auto size = static_cast<std::size_t>(
        std::strtoul(message.header("Content-Length").c_str(), nullptr, 10));
    auto bytes = read_exactly(size, timeout_ms);
    message.is_complete = bytes.has_value();
    message.body = bytes ? *std::move(bytes) : input_;
}

void connection::close() {
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

std::string response_text(int status, const header_list& headers, std::string_view body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n";
    for (const auto& [name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out.append(body);
}

std::shared_ptr<server> server::start(const endpoint& at, handler handle) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (listener < 0 || !bind_to(listener, at) || ::listen(listener, backlog) != 0) {
        return nullptr;
    }
    auto out = std::make_shared<server>();
    out->handle_ = std::move(handle);
    out->listener_ = listener;
    std::thread([out] { out->accept_all(out); }).detach();
    return out;
}

void server::accept_all(const std::shared_ptr<server>& self) {
    for (;;) {
        const int accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (is_stopped_) {
            if (accepted >= 0) {
                ::close(accepted);
            }
            ::close(listener_);
            return;
        }
        if (accepted >= 0) {
            open_.insert(accepted);
            std::thread([self, accepted] { self->serve(accepted); }).detach();
        }
    }
}

void server::serve(int socket) {
    connection caller(socket);
    for (auto request = caller.read_head(server_idle_timeout_ms); request;
         request = caller.read_head(server_idle_timeout_ms)) {
        caller.read_body(*request, server_idle_timeout_ms);
        if (!request->is_complete || !handle_(caller, *request)) {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    open_.erase(socket); // before the connection closes it
    caller.close();
}

void server::stop() {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    for (const int each : open_) {
        ::shutdown(each, SHUT_RDWR);
    }
}

std::optional<http_message> call(const endpoint& to, const std::string& request_text,
                                 int timeout_ms) {
    auto opened = connection::open(to, timeout_ms);
    if (!opened || !opened->write(request_text)) {
        return std::nullopt;
    }
    auto out = opened->read_head(timeout_ms);
    if (out) {
        opened->read_body(*out, timeout_ms);
    }
    return out;
}

std::string free_network() {
    for (int attempt = 0; attempt < network_count; ++attempt) {
        const auto number = first_network + (::getpid() + attempt) % network_count;
        auto out = "127." + std::to_string(number);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const connection owner(socket);
        if (bind_to(socket, {out + ".1.1", probe_port}) && ::listen(socket, 1) == 0) {
            return out;
        }
    }
    return {};
}

std::int64_t now_ms() {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string encode_base64(std::string_view bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            const auto byte = j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= count ? digits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return out;
}

} // namespace review
