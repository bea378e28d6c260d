#pragma once

#include <config/settings.h>
#include <http/http_server.h>
#include <kernel/micro_kernel.h>
#include <kvstore/etcd_client.h>
#include <node/caller_port.h>
#include <node/event_loop.h>
#include <node/inbox.h>
#include <node/kv_port.h>
#include <node/log_port.h>
#include <node/message_port.h>
#include <node/span_port.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorgrade {

/**
 * What both daemons are made of but their services: kernel, event loop, and the ports to messages,
 * key-value service, logs, spans and the operators. Not thread safe.
 *
 * @code
 * node_process process("camphor-gateway", settings.node);
 * process.kernel().add(...);
 * return process.run();
 * @endcode
 */
class node_process {
public:
    /** Opens nothing yet but the span file. */
    node_process(std::string program, const config::node_settings& settings);
    ~node_process();

    micro_kernel& kernel() noexcept { return kernel_; }
    inbox& events() noexcept { return inbox_; }

    /** Serves HTTP at "IP:port" to `service`; false when it cannot. `number`: see caller_port. */
    bool serve(const std::string& address, const std::string& service, std::uint64_t number,
               http_server_settings settings);

    /**
     * Reads the operators' credential into `credential`, which stays empty when none is set. False,
     * and logged, when the settings ask for something that can't be had; the daemon then must not
     * start.
     */
    bool read_credentials(std::string& credential);

    /** Adds a port of the daemon's own. Precondition: it outlives run(). */
    void add(port& added) { extra_ports_.push_back(&added); }

    /** Writes a log record of the process itself. */
    void log(const write_log& entry) { log_.write(entry); }

    /** Runs until the graceful shutdown has ended; returns a daemon_exit code. */
    int run();

private:
    struct server {
        std::unique_ptr<caller_port> port;
        std::unique_ptr<http_server> http;
    };

    std::string program_;
    config::node_settings settings_;
    monotonic_clock clock_;
    micro_kernel kernel_;
    inbox inbox_;
    log_port log_;
    span_port spans_;
    std::unique_ptr<fault_formatter> formatter_;
    std::unique_ptr<message_port> messages_;
    std::unique_ptr<etcd_client> store_;
    std::unique_ptr<kv_port> store_port_;
    std::vector<server> servers_;
    std::vector<port*> extra_ports_;
};

} // namespace camphorgrade
