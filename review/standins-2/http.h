#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

/** A request or a response: its first line, its headers with names in lower case, its body. */
struct http_message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
    /** The word of the first line with this index. */
    std::string word(std::size_t index) const;
    int status() const;
};

/** How a read ended. */
enum class read_end : std::uint8_t { complete, closed, reset, timed_out };

/** One blocking TCP connection. Not thread safe but for abort(). */
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /** Reads the head of a message; `body` stays empty. */
    read_end read_head(http_message& out);
    /** Reads what the head of `message` announces: a length, chunks, or up to the connection's
       end if `until_close` is true. */
    read_end read_body(http_message& message, bool until_close);
    /** Receives once, at most `max_bytes`; empty at the end, which `end` then tells. */
    std::string receive(std::size_t max_bytes, read_end& end);
    bool write(std::string_view bytes) const;
    void set_timeout(std::chrono::milliseconds timeout) const;
    /** Ends pending and later calls of another thread. */
    void abort() const;

private:
    bool fill();
    std::optional<std::string> take_line();
    read_end take_bytes(std::size_t count, std::string& out);

    int descriptor_;
    std::string buffer_;
    read_end last_end_ = read_end::complete;
};

/** Connects to a loopback address; null on failure. `receive_bytes` limits the receive buffer, and
    segments then have the size of Ethernet; 0 leaves both to the system. */
std::unique_ptr<connection> connect_to(const std::string& ip, std::uint16_t port,
                                       int receive_bytes = 0);

/** Serves requests of loopback clients, each connection on a thread of its own. */
class http_server {
public:
    /** Returns false to close the connection. */
    using handler = std::function<bool(connection&, http_message&)>;

    /** Throws std::runtime_error if the address can't be bound. */
    http_server(const std::string& ip, std::uint16_t port, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Stops listening and closes every connection. */
    void stop();

private:
    void accept_all();
    void serve(const std::shared_ptr<connection>& accepted);

    int listener_;
    handler handle_;
    std::atomic<bool> is_stopped_ = false;
    std::mutex mutex_;
    std::set<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/** A response with a length. */
std::string response_text(int status, const std::map<std::string, std::string>& headers,
                          std::string_view body);

} // namespace review
