#pragma once

#include <kvstore/memory_store.h>
#include <standins/standin_host.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::standins {

/** Faults that a kv_standin simulates; POST /control/faults changes them while it runs. */
struct kv_faults {
    bool is_unavailable = false; /**< Closes the connection of every call, without effect. */
    duration delay{0};           /**< Delay before a call takes effect. */
    std::size_t drop_next_responses = 0; /**< Next writes that take effect without a response. */

    friend bool operator==(const kv_faults&, const kv_faults&) = default;
};

/**
 * A simulation of the platform's key-value service: the JSON gateway of etcd v3 over a
 * memory_store.
 *
 * `GET /control/counts` returns the number of calls of each kind and of the open watches. Thread
 * safe, except for start() and destruction.
 */
class kv_standin final : private standin_logic {
public:
    explicit kv_standin(kv_faults faults = {});

    /** Starts to listen; returns false if the address cannot be bound. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    struct watcher {
        kv_watch watch;
        std::unique_ptr<response_writer> writer;
    };

    struct call_counts {
        std::size_t reads = 0;
        std::size_t writes = 0;
        std::size_t leases = 0;
        std::size_t watches = 0;
    };

    void handle(standin_call call) override;
    void on_caller_lost(exchange_id id) override;

    void set_faults(standin_call call);
    void respond_counts(const standin_call& call) const;
    std::optional<kv_request> decode(const standin_call& call) const;
    void count(const kv_request& request);
    void execute(const kv_request& request, standin_call call);
    bool take_dropped_response(const kv_request& request);
    void start_watch(const kv_watch& watch, standin_call call);
    void notify_watchers();
    bool send_changes(watcher& target);
    void expire_leases();
    void schedule_expiry();

    memory_store store_;
    kv_faults faults_;
    call_counts counts_;
    std::map<exchange_id, watcher> watchers_;
    std::optional<time_point> scheduled_expiry_;
    standin_host host_;
};

} // namespace camphorgrade::standins
