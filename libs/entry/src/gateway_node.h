#pragma once

#include "descriptor_shares.h"
#include "fleet_records.h"
#include "gateway_peers.h"
#include "graceful_shutdown.h"
#include "request_flow.h"

#include <edge/buffered_calls.h>
#include <edge/caller_server.h>
#include <entry/entry_process.h>
#include <serving/registration_tracker.h>
#include <telemetry/event_log.h>
#include <telemetry/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/**
 * The gateway process on an entry VM: connects callers, dispatcher, backend servers, store and
 * peers. Not thread safe: belongs to the thread that calls run().
 */
class gateway_node final : public edge::caller_handler,
                           public fleet_state_listener,
                           public request_flow_host,
                           public gateway_peers_host {
public:
    gateway_node(const entry_settings& settings, const serving::request_codec& codec,
                 const serving::catalogue_reader& reader, const fleet_source_factory& make_source);
    ~gateway_node() override;

    /**
     * Serves until the end of a graceful shutdown. Throws boost::system::system_error when a listen
     * address other than entry_settings::metrics_address can't be bound.
     */
    void run();

    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override;
    void on_accept_failed(const boost::system::error_code& error) override;
    void on_connection_limit(edge::connection_limit_action action) override;

    void on_caller_limits(const edge::caller_limits& limits) override;
    void on_fleet_changed() override;
    void on_store_watch_changed(bool watches) override;
    void on_store_history_lost() override { records_->on_history_lost(); }

    time_point now() const override { return clock_.now(); }
    edge::upstream_pool& pool() override { return pool_; }
    const serving::request_codec& codec() const override { return codec_; }
    liveness_checker& liveness() override { return liveness_; }
    serving::dispatcher& dispatcher() override { return dispatcher_; }
    void on_response_head(serving::request_handle request,
                          const serving::response_metadata& response) override;
    void on_stream_attempt(serving::request_handle request,
                           const stream_attempt_report& report) override;
    void on_attempt_ended(serving::request_handle request,
                          serving::attempt_outcome outcome) override;
    void on_request_finished(serving::request_handle request, int status) override;

    void on_effects_pending() override { execute_effects(); }
    void on_gateway_count(std::size_t count) override { records_->set_gateways(count); }
    void on_peer_checkpoint(const serving::checkpoint_state& state) override {
        records_->on_peer_checkpoint(state);
    }
    const serving::checkpoint_state& newest_checkpoint() const override {
        return records_->newest_checkpoint();
    }
    event_log& log() override { return log_; }

    /** Whether this process accepts new requests. */
    bool is_ready() const;
    /** Metrics in the Prometheus text format. */
    std::string metrics_text();

private:
    class operator_endpoints;
    friend class operator_endpoints;

    void execute_effects();
    void log_part_changes();
    void log_retry_decisions();
    void execute(const serving::end_request& effect);
    void log_end(const serving::end_request& effect, const std::string& correlation_id);
    void execute(const serving::send_attempt& effect);
    void execute(const serving::wait_for_backend& effect);
    void execute(const serving::limit_changed& effect);
    void execute(const serving::stream_resumption& effect);
    void log_permit_wait(const serving::wait_for_backend& effect,
                         const std::string& correlation_id);
    /** The id that the caller gave the request; empty if the request is unknown. */
    std::string correlation_id_of(serving::request_handle request) const;
    void on_caller_disconnected(serving::request_handle request);
    void refuse_during_shutdown(edge::caller_exchange& exchange);
    void destroy_finished_flows();
    /** Ends what buffers most until the process keeps within its budget. */
    void enforce_buffer_budget();
    void tick();
    /** Adds the number of open connections and requests. */
    void add_load(log_line& line) const;
    /** `delay` is how late the event loop ran a timer. */
    void record_loop_delay(duration delay);
    void listen_for_metrics();
    void on_signal(int signal);
    void begin_shutdown();

    entry_settings settings_;
    descriptor_shares descriptors_;
    const serving::request_codec& codec_;
    monotonic_clock clock_;
    edge::buffer_budget buffers_; /**< Outlives the connections, which the event loop owns. */
    boost::asio::io_context loop_;
    stdout_sink sink_;
    event_log log_;
    metrics metrics_;
    edge::upstream_pool pool_;
    liveness_checker liveness_;
    serving::dispatcher dispatcher_;
    fleet_state fleet_;
    std::map<serving::request_handle, std::unique_ptr<request_flow>> flows_;
    std::vector<std::unique_ptr<request_flow>> finished_flows_;
    edge::caller_server caller_server_;
    std::unique_ptr<operator_endpoints> operator_endpoints_;
    gateway_peers peers_;
    std::unique_ptr<fleet_source> source_;
    std::unique_ptr<fleet_records> records_;
    boost::asio::steady_timer timer_;
    time_point tick_due_;
    duration longest_loop_delay_{}; /**< Since the metrics were last read. */
    boost::asio::signal_set signals_;
    graceful_shutdown shutdown_;
};

} // namespace camphorgrade::entry
