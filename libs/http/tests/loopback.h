#pragma once

#include <cstdint>
#include <string>

namespace camphorgrade::testing {

/** One end of a TCP connection over loopback, owned. Blocking; for tests only. */
class raw_connection {
public:
    explicit raw_connection(int descriptor) : descriptor_(descriptor) {}
    raw_connection(raw_connection&& other) noexcept;
    raw_connection& operator=(raw_connection&&) = delete;
    ~raw_connection();

    /** Connects to a port on 127.0.0.1. */
    static raw_connection to(std::uint16_t port);

    void send(const std::string& bytes);

    /** Reads until `mark` has been seen or the peer closes; returns all that was read. */
    std::string read_until(const std::string& mark);

    /** Reads until the peer closes. */
    std::string read_all() { return read_until(std::string(1, '\0') + "never"); }

    void close();

private:
    int descriptor_;
};

/** Listens on a free port of 127.0.0.1. */
class raw_listener {
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    std::uint16_t port() const { return port_; }
    raw_connection accept();

    /** True when someone has connected and was not accepted yet. Does not wait. */
    bool has_caller() const;

    void close();

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

} // namespace camphorgrade::testing
