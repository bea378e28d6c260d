#pragma once

#include <harness/fake_cluster.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::testing {

/** The answer that an engine generates: depends on adapter, prompt and length alone. */
std::string fake_text(const std::string& adapter, const std::string& prompt,
                      std::uint64_t max_tokens);

/** What a fake server did with one request that reached it. */
struct fake_run {
    std::string server;  /**< Its endpoint. */
    std::string adapter; /**< Of a completion. */
    std::string prompt;  /**< Of a completion; the body of a call to a plain service. */
};

/**
 * Backend servers for a fake_cluster: engines with adapter slots, and plain services, told apart by
 * what is asked of them. Deterministic. Not thread safe.
 */
class fake_servers final : public harness::fake_backend {
public:
    explicit fake_servers(harness::fake_cluster& cluster) : cluster_(cluster) {}

    void on_call(const node_id& node, const call_backend& call) override;
    void on_cancel(const node_id& node, call_id call) override;

    /** The server at that endpoint dies; its open calls break. */
    void crash(const std::string& endpoint);

    /** It comes back, empty, in a new life. */
    void restart(const std::string& endpoint);

    /** A completion whose prompt contains this kills its engine. */
    void set_deadly_prompt(const std::string& marker) { deadly_ = marker; }

    /** Adapters that an engine refuses to load. */
    void refuse_loads_of(const std::string& adapter) { refused_loads_.insert(adapter); }

    /** Every run, in order. */
    const std::vector<fake_run>& runs() const noexcept { return runs_; }

    /** Runs of plain services whose body is `body`. */
    std::size_t count_runs(const std::string& body) const;

    /** Times an adapter was unloaded while a completion ran on it. Must stay 0. */
    std::size_t evicted_in_use() const noexcept { return evicted_in_use_; }

    duration step{5};          /**< Between two tokens. */
    duration load_time{50};    /**< Of an adapter. */
    duration service_time{10}; /**< Of a call to a plain service that changes something. */

private:
    struct open_call {
        std::string service;
        std::string endpoint;
        std::string adapter;
    };
    struct server {
        bool down = false;
        std::uint64_t boot = 1;
        std::set<std::string> adapters;
    };
    using call_key = std::pair<node_id, std::uint64_t>;

    void answer(const node_id& node, const call_backend& call, int status, const std::string& body,
                duration after);
    void order(const node_id& node, const call_backend& call, bool load);
    void complete(const node_id& node, const call_backend& call);
    void post(const node_id& node, const call_backend& call, call_progress part, duration after);
    http_headers headers_of(const std::string& endpoint, const char* type);

    harness::fake_cluster& cluster_;
    std::map<std::string, server> servers_;
    std::map<call_key, open_call> open_;
    std::vector<fake_run> runs_;
    std::set<std::string> refused_loads_;
    std::optional<std::string> deadly_;
    std::size_t evicted_in_use_ = 0;
};

} // namespace camphorgrade::testing
