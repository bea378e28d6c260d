#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** @file Blocking HTTP/1.1 on loopback addresses, for stand-ins with a thread for each connection.
 */
namespace review {

/** An IPv4 address and port. */
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/** The value of a header; empty if there is none. Names are compared without case. */
std::string find_header(const header_list& headers, std::string_view name);

/** A request or a response. */
struct http_message {
    std::string start_line;
    header_list headers;
    std::string body;
    bool is_complete = false; /**< The whole body was read. */

    std::string method() const;
    std::string target() const;
    /** Path of the target, without its query. */
    std::string path() const;
    /** Value of a parameter of the query, decoded; empty if there is none. */
    std::string query(std::string_view name) const;
    /** Of a response; 0 if there is none. */
    int status() const;
    std::string header(std::string_view name) const { return find_header(headers, name); }
};

/** A connected socket. Movable; not thread safe. */
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    /** Connects within `timeout_ms`, optionally from the address `from`; nullopt on a failure. */
    static std::optional<connection> open(const endpoint& to, int timeout_ms,
                                          const std::string& from = {});

    bool write(std::string_view bytes);
    /** Reads the head of a message; nullopt at the end of the connection or after `timeout_ms`. */
    std::optional<http_message> read_head(int timeout_ms);
    /** Reads the body of a message whose head was read. */
    void read_body(http_message& message, int timeout_ms);
    /** Reads what is next of a chunked body; empty at its end or on a failure. */
    std::string read_chunk(int timeout_ms, bool& is_last);
    void close();

private:
    bool fill(int timeout_ms);
    std::optional<std::string> read_line(int timeout_ms);
    std::optional<std::string> read_exactly(std::size_t size, int timeout_ms);

    int socket_ = -1;
    std::string input_;
};

/** Text of a response with a body of known length. */
std::string response_text(int status, const header_list& headers, std::string_view body);

/** Serves connections at one address, each on a thread of its own, until stop(). Thread safe. */
class server {
public:
    /** Gets each request with its connection, and returns whether the connection goes on. */
    using handler = std::function<bool(connection&, http_message&)>;

    /** Returns null if the address can't be bound. */
    static std::shared_ptr<server> start(const endpoint& at, handler handle);

    /** Closes the listener and all connections, as the end of a process does. */
    void stop();

private:
    void accept_all(const std::shared_ptr<server>& self);
    void serve(int socket);

    std::mutex mutex_;
    handler handle_;
    int listener_ = -1;
    bool is_stopped_ = false;
    std::set<int> open_;
};

/** Sends a request on a connection of its own and reads the whole response. */
std::optional<http_message> call(const endpoint& to, const std::string& request_text,
                                 int timeout_ms);

/** The first two numbers of loopback addresses that nobody uses, such as "127.87". */
std::string free_network();

/** Milliseconds of a clock that never steps. */
std::int64_t now_ms();
void sleep_ms(std::int64_t ms);

std::string encode_base64(std::string_view bytes);

} // namespace review
