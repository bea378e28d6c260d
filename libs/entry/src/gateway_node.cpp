#include "gateway_node.h"

#include "operator_endpoints.h"
#include "refusal_response.h"

#include <edge/stop_signals.h>
#include <telemetry/process_memory.h>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr duration tick_interval{50};
// A tick that is late by at least this much is logged.
constexpr duration notable_loop_delay{250};
/** Checkpoints that are written while the store keeps a change: the newest one must still be usable
    after some failed writes and the time that a start takes. */
constexpr int checkpoints_per_history = 4;
constexpr duration min_checkpoint_interval{1'000};
constexpr int min_success_status = 200;
constexpr int min_redirection_status = 300;

/** Share of the process's memory that requests and responses may take while they are buffered. What
    they take besides, such as copies while a buffer grows, must fit into the rest. */
constexpr std::size_t buffer_memory_divisor = 5;
constexpr std::size_t default_buffer_budget_bytes = std::size_t{64} * 1024 * 1024;

std::size_t buffer_budget_bytes(const entry_settings& settings) {
    return settings.memory_limit_bytes == 0 ? default_buffer_budget_bytes
                                            : settings.memory_limit_bytes / buffer_memory_divisor;
}

edge::upstream_settings upstream_settings_for(const descriptor_shares& shares) {
    edge::upstream_settings out;
    out.max_idle = shares.idle_upstream;
    return out;
}

fleet_records_settings records_settings(const entry_settings& settings) {
    fleet_records_settings out;
    out.address = settings.peer_address.ip + ':' + std::to_string(settings.peer_address.port);
    out.incarnation = settings.incarnation;
    out.store_writes_per_s = settings.store_writes_per_s;
    out.recovery.is_restart = settings.dispatch.software.is_restart;
    out.checkpoints.interval =
        std::max(settings.store_history / checkpoints_per_history, min_checkpoint_interval);
    return out;
}

boost::asio::ip::tcp::endpoint endpoint_of(const serving::network_address& address) {
    return {boost::asio::ip::make_address(address.ip), address.port};
}

} // namespace

gateway_node::gateway_node(const entry_settings& settings, const serving::request_codec& codec,
                           const serving::catalogue_reader& reader,
                           const fleet_source_factory& make_source)
    : settings_(settings),
      descriptors_(share_descriptors(available_descriptors(settings.max_descriptors))),
      codec_(codec),
      buffers_(buffer_budget_bytes(settings),
               [this] { boost::asio::post(loop_, [this] { enforce_buffer_budget(); }); }),
      log_(settings.node_name, clock_, sink_, {}),
      pool_(loop_, clock_, upstream_settings_for(descriptors_), &buffers_),
      liveness_(loop_, pool_, codec),
      dispatcher_(settings.dispatch, settings.data_centre,
                  std::hash<std::string>{}(settings.node_name) ^ settings.incarnation),
      fleet_(clock_, log_, dispatcher_, reader, *this),
      caller_server_(loop_, clock_, *this, &buffers_),
      operator_endpoints_(std::make_unique<operator_endpoints>(loop_, clock_, *this)),
      peers_(loop_, clock_, pool_, dispatcher_, fleet_, *this, settings.peer_address,
             settings.incarnation, {settings.data_centre, settings.capacity_millicores, true},
             settings.seeds, {}),
      source_(make_source(loop_, pool_, fleet_)),
      records_(std::make_unique<fleet_records>(clock_, log_, metrics_, dispatcher_, fleet_,
                                               source_->records(), records_settings(settings))),
      timer_(loop_), signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      shutdown_(settings.shutdown_grace, caller_server_, dispatcher_) {
    caller_server_.set_max_connections(descriptors_.caller_connections);
}

gateway_node::~gateway_node() = default;

void gateway_node::run() {
    log_.line("process_started")
        .text("role", "entry")
        .text("data_centre", settings_.data_centre)
        .number("life", static_cast<std::int64_t>(settings_.incarnation))
        .number("max_caller_connections",
                static_cast<std::int64_t>(descriptors_.caller_connections));
    operator_endpoints_->listen(endpoint_of(settings_.operator_address));
    listen_for_metrics();
    caller_server_.listen(endpoint_of(settings_.caller_address));
    peers_.start();
    dispatcher_.store_recovery().on_start(now());
    source_->start();
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (!error) {
            on_signal(signal);
        }
    });
    edge::deliver_stop_signals();
    tick();
    loop_.run();
    const auto& ended = shutdown_.counts();
    log_.line("process_stopped")
        .number("open_requests", static_cast<std::int64_t>(flows_.size()))
        .number("refused_requests", static_cast<std::int64_t>(ended.refused))
        .number("timed_out_requests", static_cast<std::int64_t>(ended.timed_out))
        .number("aborted_responses", static_cast<std::int64_t>(ended.aborted))
        .number("busy_connections", static_cast<std::int64_t>(caller_server_.busy_connections()));
    log_.flush();
}

void gateway_node::listen_for_metrics() {
    if (settings_.metrics_address.port == 0) {
        return;
    }
    try {
        operator_endpoints_->listen_for_metrics(endpoint_of(settings_.metrics_address));
    } catch (const boost::system::system_error& error) {
        // Not fatal: the operators' address serves the metrics as well.
        log_.line("metrics_not_served").text("reason", error.code().message());
    }
}

void gateway_node::on_signal(int signal) {
    if (signal == SIGHUP) {
        log_.line("settings_reload").flag("changed", false);
    } else {
        begin_shutdown();
    }
    signals_.async_wait([this](const boost::system::error_code& error, int next) {
        if (!error) {
            on_signal(next);
        }
    });
}

void gateway_node::begin_shutdown() {
    if (shutdown_.has_begun()) {
        return;
    }
    shutdown_.begin(now());
    log_.line("shutdown_began").number("open_requests", static_cast<std::int64_t>(flows_.size()));
}

bool gateway_node::is_ready() const {
    return !shutdown_.has_begun() && fleet_.is_complete() && caller_server_.can_accept();
}

void gateway_node::add_load(log_line& line) const {
    line.number("caller_connections", static_cast<std::int64_t>(caller_server_.connections()))
        .number("open_requests", static_cast<std::int64_t>(flows_.size()));
}

void gateway_node::record_loop_delay(duration delay) {
    longest_loop_delay_ = std::max(longest_loop_delay_, delay);
    if (delay >= notable_loop_delay) {
        auto line = log_.line("event_loop_delayed", log_category::failure);
        add_load(line.number("delay_ms", delay.count()));
    }
}

void gateway_node::tick() {
    const auto at = now();
    record_loop_delay(tick_due_ == time_point{} ? duration::zero() : at - tick_due_);
    fleet_.expire();
    dispatcher_.tick(at);
    execute_effects();
    peers_.exchange_origins();
    records_->tick();
    log_.flush();
    if (shutdown_.advance(at)) {
        loop_.stop();
        return;
    }
    tick_due_ = now() + tick_interval;
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void gateway_node::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    if (shutdown_.refuses_requests(now())) {
        refuse_during_shutdown(*exchange);
        return;
    }
    const auto& request = exchange->request();
    auto metadata = codec_.decode(request.target, request.headers);
    const auto fingerprint = serving::crash_register::fingerprint(metadata.key.value_or(""),
                                                                  request.target, request.body);
    auto correlation_id = metadata.id;
    const auto handle = dispatcher_.on_request(std::move(metadata), fingerprint, request.received);
    exchange->on_disconnect([this, handle] { on_caller_disconnected(handle); });
    flows_[handle] = std::make_unique<request_flow>(*this, handle, std::move(exchange),
                                                    std::move(correlation_id));
    metrics_.count("camphor_requests_total");
    peers_.usage_changed();
    execute_effects();
    peers_.exchange_origins();
}

void gateway_node::refuse_during_shutdown(edge::caller_exchange& exchange) {
    const auto& request = exchange.request();
    log_.line("request_ended", log_category::failure)
        .text("request", codec_.decode(request.target, request.headers).id)
        .text("reason", to_string(serving::end_reason::shutting_down));
    shutdown_.on_request_ended(serving::end_reason::shutting_down, false);
    const auto refusal =
        make_refusal_response({0, serving::end_reason::shutting_down, duration{100}});
    exchange.answer(refusal.head, refusal.body);
}

void gateway_node::on_bad_request(int status) {
    log_.line("request_malformed").number("status", status);
    metrics_.count("camphor_malformed_requests_total", {{"status", std::to_string(status)}});
}

void gateway_node::on_accept_failed(const boost::system::error_code& error) {
    auto line = log_.line("accept_failed", log_category::failure);
    add_load(line.text("reason", error.message()));
    metrics_.count("camphor_failed_accepts_total");
}

void gateway_node::on_connection_limit(edge::connection_limit_action action) {
    auto line = log_.line("connection_limit");
    add_load(line.text("action", edge::to_string(action)));
    metrics_.count("camphor_connection_limit_total",
                   {{"action", std::string(edge::to_string(action))}});
}

void gateway_node::on_caller_disconnected(serving::request_handle request) {
    const auto found = flows_.find(request);
    if (found == flows_.end()) {
        return;
    }
    log_.line("caller_left", log_category::failure)
        .text("request", found->second->correlation_id());
    metrics_.count("camphor_callers_left_total");
    found->second->cancel();
    on_request_finished(request, 0);
}

void gateway_node::on_response_head(serving::request_handle request,
                                    const serving::response_metadata& response) {
    const bool is_notable = response.is_shutting_down || response.retry_after.has_value() ||
                            response.has_invalid_retry_after || response.has_invalid_request_limit;
    if (is_notable) {
        log_.line("backend_server_notice")
            .text("request", correlation_id_of(request))
            .text("backend_server", dispatcher_.backend_of(request))
            .flag("leaving", response.is_shutting_down)
            .number("hold_off_ms", response.retry_after.value_or(duration{-1}).count())
            .flag("unreadable_time", response.has_invalid_retry_after)
            .flag("unreadable_limit", response.has_invalid_request_limit);
    }
    dispatcher_.on_response_head(request, response, now());
    execute_effects();
}

std::string gateway_node::correlation_id_of(serving::request_handle request) const {
    const auto found = flows_.find(request);
    return found == flows_.end() ? std::string{} : found->second->correlation_id();
}

void gateway_node::on_stream_attempt(serving::request_handle request,
                                     const stream_attempt_report& report) {
    if (report.ends_with_connection) {
        metrics_.count(
            "camphor_unframed_responses_total",
            {{"end", std::string(to_string(report.end))},
             {"connection", report.is_reused_connection ? "reused" : "new"},
             {"process", report.state_after_end ? std::string(to_string(*report.state_after_end))
                                                : "not_asked"}});
    }
    if (report.is_stream) {
        metrics_.count("camphor_stream_attempts_total",
                       {{"end", std::string(to_string(report.end))},
                        {"resumed", report.resumed_after ? "yes" : "no"}});
    }
    if (report.is_whole() && !report.resumed_after && !report.ends_with_connection) {
        return;
    }
    auto line = log_.line(report.is_stream ? "stream_attempt_ended" : "unframed_response_ended",
                          log_category::failure);
    line.text("request", correlation_id_of(request))
        .text("backend_server", dispatcher_.backend_of(request));
    add_fields(line, report);
}

void gateway_node::on_attempt_ended(serving::request_handle request,
                                    serving::attempt_outcome outcome) {
    dispatcher_.on_attempt_ended(request, outcome, now());
    if (outcome != serving::attempt_outcome::completed) {
        log_.line("attempt_failed", log_category::failure)
            .text("request", correlation_id_of(request))
            .text("outcome", to_string(outcome));
        metrics_.count("camphor_failed_attempts_total",
                       {{"outcome", std::string(to_string(outcome))}});
    }
    peers_.crashes_changed();
    execute_effects();
}

void gateway_node::on_request_finished(serving::request_handle request, int status) {
    const auto found = flows_.find(request);
    if (found == flows_.end()) {
        return;
    }
    const auto elapsed = now() - found->second->exchange().request().received;
    const bool is_failure = status < min_success_status || status >= min_redirection_status;
    log_.line("request_finished", is_failure ? log_category::failure : log_category::routine)
        .text("request", found->second->correlation_id())
        .number("status", status)
        .number("first_answer_ms", found->second->time_to_first_byte().count())
        .number("took_ms", elapsed.count());
    metrics_.observe("camphor_request_ms", {{"status", std::to_string(status)}},
                     static_cast<double>(elapsed.count()));
    dispatcher_.release(request, now());
    peers_.demand_changed();
    finished_flows_.push_back(std::move(found->second));
    flows_.erase(found);
    if (finished_flows_.size() == 1) {
        boost::asio::post(loop_, [this] { destroy_finished_flows(); });
    }
}

void gateway_node::destroy_finished_flows() {
    finished_flows_.clear();
}

void gateway_node::enforce_buffer_budget() {
    const auto used = buffers_.used_bytes();
    const auto released = buffers_.enforce();
    if (released.empty()) {
        return;
    }
    log_.line("buffers_over_budget", log_category::failure)
        .number("ended", static_cast<std::int64_t>(released.size()))
        .number("largest_bytes", static_cast<std::int64_t>(released.front()))
        .number("buffered_bytes", static_cast<std::int64_t>(used))
        .number("budget_bytes", static_cast<std::int64_t>(buffers_.max_bytes()))
        .number("resident_bytes", static_cast<std::int64_t>(resident_bytes()));
    metrics_.count("camphor_buffers_over_budget_total", {}, released.size());
}

void gateway_node::on_caller_limits(const edge::caller_limits& limits) {
    caller_server_.set_limits(limits);
}

void gateway_node::on_fleet_changed() {
    peers_.demand_changed();
}

void gateway_node::on_store_watch_changed(bool watches) {
    if (watches) {
        source_->resume();
    } else {
        source_->pause();
    }
}

std::string gateway_node::metrics_text() {
    metrics_.set("camphor_caller_connections", {},
                 static_cast<double>(caller_server_.connections()));
    metrics_.set("camphor_loop_delay_ms", {},
                 static_cast<double>(std::exchange(longest_loop_delay_, {}).count()));
    metrics_.set("camphor_open_requests", {}, static_cast<double>(flows_.size()));
    metrics_.set("camphor_waiting_requests", {},
                 static_cast<double>(dispatcher_.waiting_requests()));
    metrics_.set("camphor_store_age_ms", {}, static_cast<double>(fleet_.data_age().count()));
    metrics_.set("camphor_store_restorations", {},
                 static_cast<double>(fleet_.store_restorations()));
    metrics_.set("camphor_limited_backend_servers", {},
                 static_cast<double>(dispatcher_.limits().all().size()));
    const auto& returns = dispatcher_.limiter().returns();
    metrics_.set("camphor_account_reservations", {},
                 static_cast<double>(dispatcher_.limiter().reservations()));
    metrics_.set("camphor_returns_total", {{"result", "reserved"}},
                 static_cast<double>(returns.reserved));
    metrics_.set("camphor_returns_total", {{"result", "served"}},
                 static_cast<double>(returns.served));
    metrics_.set("camphor_returns_total", {{"result", "refused_again"}},
                 static_cast<double>(returns.refused_again));
    metrics_.set("camphor_cold_backend_servers", {},
                 static_cast<double>(dispatcher_.cold().size()));
    metrics_.set("camphor_evacuated_data_centres", {},
                 static_cast<double>(dispatcher_.backends().evacuated().size()));
    metrics_.set("camphor_granted_permits", {},
                 static_cast<double>(dispatcher_.permits().granted_permits()));
    metrics_.set("camphor_prompt_parts", {{"state", "suspect"}},
                 static_cast<double>(dispatcher_.parts().suspects()));
    metrics_.set("camphor_prompt_parts", {{"state", "held"}},
                 static_cast<double>(dispatcher_.parts().held()));
    metrics_.set("camphor_buffered_bytes", {}, static_cast<double>(buffers_.used_bytes()));
    metrics_.set("camphor_resident_bytes", {}, static_cast<double>(resident_bytes()));
    metrics_.set("camphor_unreadable_peer_datagrams", {},
                 static_cast<double>(peers_.unreadable_datagrams()));
    return metrics_.prometheus_text();
}

int run_entry(const entry_settings& settings, const serving::request_codec& codec,
              const serving::catalogue_reader& reader, const fleet_source_factory& make_source) {
    gateway_node node(settings, codec, reader, make_source);
    node.run();
    return 0;
}

} // namespace camphorgrade::entry
