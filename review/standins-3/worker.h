#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace review {

/** What a worker is, and how it works. */
struct worker_settings {
    std::string id;
    std::string service;
    std::string zone = "one";
    endpoint address;
    bool is_engine = false;
    std::string stream_prefix{}; /**< Paths at which a plain service answers with a stream. */
    std::string model{};
    double capacity_mb = 0; /**< Memory for the model and its adapters. */
    double model_mb = 0;
    double adapter_mb = 0;
    std::size_t adapter_slots = 0;
    int load_ms = 250; /**< Of an adapter. */
    int events = 5;    /**< Of a stream. */
    int event_pause_ms = 20;
    int work_ms = 15; /**< Of a request to a plain service. */
    int keep_alive_s = 15;
    int restart_ms = 2'000; /**< After a crash that a request causes. */
};

/** A request that reached a worker. */
struct worker_run {
    std::string worker;
    http_message request;
    std::uint64_t adapter_version = 0;
    std::int64_t at_ms = 0;
};

/**
 * A model worker, or a server of a plain service: runs what it is asked for, loads and unloads what
 * it is ordered to. It crashes when it is ordered to load more than it can hold. Thread safe.
 */
class worker {
public:
    worker(worker_settings settings, record& log);

    /** Serves at its address; returns whether it could be bound. */
    bool start();

    /** Writes its entry in the platform's store now and with each heartbeat. */
    void register_at(store& platform);

    /** Chooses requests that crash the worker when it begins to run them. It is back some seconds
        later, under its id. */
    void crash_on(std::function<bool(const http_message&)> is_chosen) {
        is_crashing_ = std::move(is_chosen);
    }

    /** Called for each request that runs, before it is answered. */
    void on_run(std::function<void(const worker_run&)> callback) { ran_ = std::move(callback); }

    /** Makes an adapter present, as before the case began. */
    void hold(const std::string& adapter, std::uint64_t version = 1);

    /** Names the newest version of an adapter, which a load without a version fetches. */
    void set_newest(const std::string& adapter, std::uint64_t version);

private:
    struct held_adapter {
        std::uint64_t version = 0;
        std::int64_t ready_at_ms = 0;
    };

    std::string registration();
    bool on_request(connection& caller, http_message& request);
    bool run(connection& caller, const http_message& request);
    void crash();
    bool stream(connection& caller, const http_message& request);
    std::string report();
    int order(const std::string& body);
    int load(const std::string& adapter, std::uint64_t version);
    int unload(const std::string& adapter);
    std::string models();
    /** Whether a request may run here; `version` is that of its adapter. */
    bool holds(const http_message& request, std::uint64_t& version);

    worker_settings settings_;
    record& record_;
    std::function<void(const worker_run&)> ran_;
    std::function<bool(const http_message&)> is_crashing_;
    std::shared_ptr<server> server_;
    std::atomic<bool> is_down_{false};
    std::mutex mutex_;
    std::map<std::string, held_adapter> adapters_;
    std::map<std::string, std::uint64_t> newest_;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fence_ = 0;
    std::int64_t born_ms_ = 0;
    std::atomic<bool> has_crashed_{false};
};

} // namespace review
