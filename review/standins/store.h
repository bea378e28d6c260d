#pragma once

#include "loopback.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace camphorgrade::review {

/** The platform's store, as far as gateways call it: ranges and watches. Thread safe. */
class store {
public:
    explicit store(const std::string& ip);

    std::uint16_t port() const { return server_.port(); }

    /** Returns the revision of the change. */
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    std::uint64_t revision();

    /** Keeps a copy of the present state. */
    void save_copy();
    /** Resets all connections until come_back() is called. */
    void go_away();
    /** Returns to the copy and raises the era. What was written since is lost; returns it. */
    struct change {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool is_removed = false;
    };
    std::vector<change> restore_copy();
    /** Accepts connections again. */
    void come_back();

private:
    std::uint64_t add(change added);
    void handle(exchange& received);
    void answer_range(exchange& received);
    void answer_watch(exchange& received);
    headers era_header();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, change> items_;
    std::vector<change> history_;
    std::map<std::string, change> copied_items_;
    std::vector<change> copied_history_;
    std::uint64_t copied_revision_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t era_ = 1;
    http_server server_;
};

} // namespace camphorgrade::review
