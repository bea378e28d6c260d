#pragma once

#include "net.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/**
 * The platform's metadata store: reads, watches, writes under a condition and leases, which never
 * end within a case. Loses nothing, and keeps its history until it is told to forget it. Thread
 * safe.
 */
class store {
public:
    /** Serves the store at `at`, beside other addresses; returns null if it can't be bound. */
    std::shared_ptr<server> listen(const endpoint& at);

    /** Discards the changes up to now: a watch from an earlier revision gets 410. */
    void forget_history();

    /** Writes as the operator or a worker does; the return is the acknowledgement. */
    void put(const std::string& key, const std::string& value);

private:
    struct change {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        std::uint64_t lease = 0;
        bool is_removed = false;
    };

    bool on_request(connection& caller, const http_message& request);
    std::string range(const std::string& prefix, const std::string& after);
    std::string watch(const std::string& prefix, std::uint64_t after, std::int64_t wait_ms,
                      int& status);
    std::string transact(const std::string& body, int& status);
    void add(change added);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t oldest_revision_ = 0; /**< The oldest from which a watch may start. */
    std::uint64_t next_lease_ = 1'000;
};

} // namespace review
