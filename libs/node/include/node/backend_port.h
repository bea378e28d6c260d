#pragma once

#include <http/call_pool.h>
#include <node/inbox.h>
#include <node/port.h>

#include <map>
#include <mutex>
#include <string>

namespace camphorgrade {

/**
 * Carries out call_backend and cancel_call effects. A call to an endpoint that is no "IP:port"
 * fails as not sent. carry_out() is the loop's; on_call_progress() is thread safe.
 */
class backend_port final : public port, public call_observer {
public:
    /** `events` outlives the port. */
    backend_port(inbox& events, const call_pool_settings& settings, const call_limits& limits);
    ~backend_port() override;

    bool carry_out(const effect& wanted) override;

    void on_call_progress(call_id id, call_progress progress) override;

private:
    void start(const call_backend& wanted);

    inbox& inbox_;
    call_limits limits_;
    std::mutex mutex_;
    std::map<call_id, std::string> services_; // by whom each open call was made
    call_pool pool_;
};

} // namespace camphorgrade
