#pragma once

#include <kvstore/memory_store.h>
#include <standins/standin_host.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::standins {

/** What goes wrong at a kv_standin; changed while it runs by POST /control/faults. */
struct kv_faults {
    bool is_down = false;              /**< Every call is cut off, without effect. */
    duration delay{0};                 /**< Before a call takes effect and is answered. */
    std::size_t lose_next_answers = 0; /**< So many writes take effect and get no answer. */

    friend bool operator==(const kv_faults&, const kv_faults&) = default;
};

/**
 * The platform's key-value service: the JSON gateway of etcd v3 over a memory_store.
 *
 * `GET /control/counts` gives the calls so far by kind, and the watches that wait now. Thread
 * safe but for start and destruction.
 */
class kv_standin final : private standin_logic {
public:
    explicit kv_standin(kv_faults faults = {});

    /** Listens; false when that is not possible. */
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
    void answer_counts(const standin_call& call) const;
    std::optional<kv_request> decode(const standin_call& call) const;
    void count(const kv_request& request);
    void carry_out(const kv_request& request, standin_call call);
    bool loses_answer(const kv_request& request);
    void begin_watch(const kv_watch& watch, standin_call call);
    void notify_watchers();
    bool notify(watcher& notified);
    void expire_leases();
    void schedule_expiry();

    memory_store store_;
    kv_faults faults_;
    call_counts counts_;
    std::map<exchange_id, watcher> watchers_;
    std::optional<time_point> expiry_scheduled_;
    standin_host host_;
};

} // namespace camphorgrade::standins
