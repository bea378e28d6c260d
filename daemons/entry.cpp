#include "platform_daemon.h"

#include <edge/stop_signals.h>
#include <entry/entry_process.h>
#include <platform/fleet_watcher.h>
#include <platform/platform_codec.h>
#include <platform/record_client.h>

namespace camphorgrade {

namespace {

std::string peer_address(const std::string& ip, std::uint16_t port) {
    return ip + ':' + std::to_string(port);
}

entry::entry_settings entry_settings_from(const platform::platform_settings& from) {
    entry::entry_settings out;
    out.node_name = from.node_name;
    out.data_centre = from.data_centre;
    out.caller_address = from.callers;
    out.operator_address = from.readiness;
    out.peer_address = {from.ip, from.first_port};
    for (const auto& ip : from.seed_ips) {
        out.seeds.push_back(peer_address(ip, from.first_port));
    }
    out.capacity_millicores = from.capacity;
    out.memory_limit_bytes = from.memory_limit_bytes;
    out.max_descriptors = from.max_descriptors;
    out.shutdown_grace = from.shutdown_grace;
    out.store_writes_per_s = from.store_writes_per_s;
    out.store_history = from.store_history;
    out.incarnation = process_incarnation();
    out.dispatch.limits.is_restart = !from.is_first_start;
    out.dispatch.limits.schedules_returns = from.is_overload_expected;
    out.dispatch.software.is_restart = !from.is_first_start;
    out.dispatch.retries.is_restart = !from.is_first_start;
    out.dispatch.retries.ratio = from.retry_ratio;
    out.dispatch.retries.base_retries = from.retry_slack;
    out.dispatch.retries.window = from.retry_window;
    return out;
}

/** Fleet source that watches the platform's store and keeps records there. */
class store_fleet_source final : public entry::fleet_source {
public:
    store_fleet_source(boost::asio::io_context& loop, edge::upstream_pool& pool,
                       const platform::platform_settings& settings,
                       serving::fleet_listener& listener)
        : watcher_(loop, pool, store_address(settings), {},
                   std::hash<std::string>{}(settings.node_name), listener),
          records_(loop, pool, store_address(settings), {}) {}

    void start() override { watcher_.start(); }
    void pause() override { watcher_.pause(); }
    void resume() override { watcher_.resume(); }
    serving::record_store& records() override { return records_; }

private:
    static edge::upstream_address store_address(const platform::platform_settings& settings) {
        return {{boost::asio::ip::make_address(settings.store.ip), settings.store.port}, {}};
    }

    platform::fleet_watcher watcher_;
    platform::record_client records_;
};

int run(const platform::platform_settings& settings, const daemon_options& chosen) {
    auto gateway_settings = entry_settings_from(settings);
    gateway_settings.metrics_address = {settings.ip, chosen.metrics_port};
    gateway_settings.dispatch.speeds.is_enabled = chosen.uses_measured_speeds;
    const platform::platform_codec codec;
    const auto reader = platform::make_catalogue_reader();
    return entry::run_entry(gateway_settings, codec, *reader,
                            [&](boost::asio::io_context& loop, edge::upstream_pool& pool,
                                serving::fleet_listener& listener) {
                                return std::make_unique<store_fleet_source>(loop, pool, settings,
                                                                            listener);
                            });
}

} // namespace

} // namespace camphorgrade

int main(int argc, char** argv) {
    camphorgrade::edge::defer_stop_signals();
    return camphorgrade::run_platform_daemon("camphor-entry", argc, argv, camphorgrade::run);
}
