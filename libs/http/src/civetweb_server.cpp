#include "civetweb_server.h"
#include "socket_finder.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <civetweb.h>
#include <sys/socket.h>

namespace camphorgrade {

namespace {

/** Threads beyond the connections served, so that those too many hear a refusal. */
constexpr std::size_t refusal_threads = 4;

/** Connections are not kept alive once this share of them, in parts of four, is in use. */
constexpr std::size_t keep_alive_quarters = 3;

/** Read beyond the limits on headers, so that most who exceed them still hear why. */
constexpr std::size_t header_slack_bytes = std::size_t{64} * 1024;

} // namespace

civetweb_server::library_guard::library_guard() {
    mg_init_library(MG_FEATURES_DEFAULT);
}

civetweb_server::library_guard::~library_guard() {
    mg_exit_library();
}

bool civetweb_server::listen() {
    const std::string port = settings_.address + ":" + std::to_string(settings_.port);
    const std::string threads = std::to_string(settings_.max_connections + refusal_threads);
    const std::string timeout = std::to_string(settings_.request_timeout.count());
    const std::string keep_alive = std::to_string(settings_.keep_alive_timeout.count());
    const std::string request_size =
        std::to_string(settings_.headers.max_bytes + settings_.max_uri_bytes + header_slack_bytes);
    std::vector<const char*> options{"listening_ports",
                                     port.c_str(),
                                     "num_threads",
                                     threads.c_str(),
                                     "request_timeout_ms",
                                     timeout.c_str(),
                                     "enable_keep_alive",
                                     "yes",
                                     "keep_alive_timeout_ms",
                                     keep_alive.c_str(),
                                     "max_request_size",
                                     request_size.c_str(),
                                     "tcp_nodelay",
                                     "1",
                                     "decode_url",
                                     "no",
                                     "enable_auth_domain_check",
                                     "no",
                                     nullptr};

    mg_callbacks callbacks{};
    callbacks.begin_request = begin_request;
    callbacks.http_error = http_error;
    callbacks.init_connection = init_connection;
    callbacks.connection_close = connection_closing;
    callbacks.log_message = drop_log;
    callbacks.log_access = drop_log;
    context_ = mg_start(&callbacks, this, options.data());
    if (context_ == nullptr) {
        return false;
    }
    mg_server_port bound{};
    if (mg_get_server_ports(context_, 1, &bound) == 1) {
        bound_port_ = static_cast<std::uint16_t>(bound.port);
    }
    return true;
}

void civetweb_server::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const auto& [id, open] : exchanges_) {
            open->lose(caller_loss::stopping);
        }
        for (const int descriptor : descriptors_) {
            ::shutdown(descriptor, SHUT_RD);
        }
    }
    if (context_ != nullptr) {
        // Wakes the accepting thread, which else looks for the end only every two seconds.
        ::shutdown(find_listening_socket(bound_port_), SHUT_RDWR);
        mg_stop(std::exchange(context_, nullptr));
    }
}

civetweb_server& civetweb_server::of(const mg_connection* connection) {
    return *static_cast<civetweb_server*>(mg_get_user_data(mg_get_context(connection)));
}

civetweb_server::connection_state* civetweb_server::state_of(const mg_connection* connection) {
    return static_cast<connection_state*>(mg_get_user_connection_data(connection));
}

int civetweb_server::begin_request(mg_connection* connection) {
    of(connection).serve(connection);
    return 1;
}

int civetweb_server::http_error(mg_connection* connection, int status, const char* /*message*/) {
    civetweb_server& self = of(connection);
    const connection_state* const state = state_of(connection);
    const bool is_late =
        state != nullptr && self.clock_.now() - state->idle_since >= self.settings_.request_timeout;
    if (status == http_status(request_fault::body_too_large)) {
        self.refuse(connection, request_fault::headers_too_large);
    } else {
        self.refuse(connection, is_late ? request_fault::timed_out : request_fault::malformed);
    }
    return 0;
}

int civetweb_server::init_connection(const mg_connection* connection, void** state) {
    auto fresh = std::make_unique<connection_state>();
    of(connection).add_connection(*fresh);
    *state = fresh.release();
    return 0;
}

void civetweb_server::connection_closing(const mg_connection* connection) {
    const std::unique_ptr<connection_state> state(state_of(connection));
    if (state != nullptr) {
        of(connection).remove_connection(*state);
    }
}

void civetweb_server::add_connection(connection_state& state) {
    state.idle_since = clock_.now();
    const std::lock_guard lock(mutex_);
    ++connection_count_;
    state.is_excess = connection_count_ > settings_.max_connections;
}

void civetweb_server::find_descriptor(const mg_connection* connection, connection_state& state) {
    if (state.descriptor != no_descriptor) {
        return;
    }
    const mg_request_info& info = *mg_get_request_info(connection);
    const std::lock_guard lock(mutex_);
    state.descriptor =
        find_connected_socket(info.remote_addr, static_cast<std::uint16_t>(info.remote_port),
                              static_cast<std::uint16_t>(info.server_port), descriptors_);
    descriptors_.insert(state.descriptor);
}

void civetweb_server::remove_connection(const connection_state& state) {
    const std::lock_guard lock(mutex_);
    --connection_count_;
    descriptors_.erase(state.descriptor);
}

bool civetweb_server::keeps_alive() const {
    const std::lock_guard lock(mutex_);
    return !stopping_ && 4 * connection_count_ <= keep_alive_quarters * settings_.max_connections;
}

} // namespace camphorgrade
