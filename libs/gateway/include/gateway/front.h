#pragma once

#include <gateway/completion_request.h>
#include <gateway/forwarder.h>
#include <gateway/route.h>
#include <gateway/service_health.h>

#include <config/configuration_service.h>
#include <delivery/drain.h>
#include <delivery/quarantine.h>
#include <kernel/service.h>
#include <keys/key_service.h>
#include <limits/limits_service.h>
#include <membership/standing_service.h>
#include <telemetry/metrics.h>

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace camphorgrade::gateway {

/** Times and names of a front. */
struct front_settings {
    std::string data_centre;
    duration token_wait{1'000}; /**< Longest wait for tokens of the client account. */
    delivery::drain_settings drain;
};

/**
 * The service "front" of a gateway: takes callers' requests, checks them and their keys, charges
 * the client account, has them delivered, and answers. Not thread safe.
 *
 * Finds "configuration", "keys", "standing", "membership", "limits", "forward", "quarantine",
 * "service_health" and "metrics" in its kernel.
 */
class front final : public service,
                    public forward_listener,
                    public limits::admission_listener,
                    public config::configuration_listener {
public:
    explicit front(front_settings settings);

    std::string_view name() const noexcept override { return "front"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_caller(const caller_arrived& arrived, step& now) override;
    void on_caller_gone(request_id request, step& now) override;
    void on_timer(token id, step& now) override;
    void on_shutdown(step& now) override;

    void on_answer(request_id request, const call_progress& part, step& now) override;
    void on_refusal(request_id request, const delivery::refusal& refused, step& now) override;
    void on_ended(request_id request, const delivery::delivery_ended& ended, step& now) override;

    void on_admitted(limits::admission_ticket ticket, step& now) override;
    void on_refused(limits::admission_ticket ticket, const limits::admission_refusal& refused,
                    step& now) override;

    void configuration_changed(const config::operators_text& text, std::uint64_t revision,
                               step& now) override;

    /** Whether callers should be sent here: it knows the text, can admit, and is not leaving. */
    bool ready(time_point now) const;

private:
    /** A request from its arrival to its end. */
    struct open_request {
        forward_order order;
        std::string client_account; // empty: the route is open to all
        std::string key;            // its public id
        std::uint64_t cost = 0;
        std::optional<limits::admission_ticket> ticket;
        bool waiting = false; // for tokens
        trace_context trace;
        std::string parent_span;
        time_point arrived;
        bool answered = false;
        std::string result;
    };

    /** What a checked request becomes. */
    using checked = std::variant<open_request, delivery::refusal>;

    checked check(const caller_arrived& arrived, step& now) const;
    std::optional<delivery::refusal> check_key(const caller_arrived& arrived,
                                               const config::service_spec& spec,
                                               open_request& out) const;
    checked check_completion(const caller_arrived& arrived, bool chat, step& now) const;
    checked check_plain(const caller_arrived& arrived, const route& to, step& now) const;
    std::optional<delivery::refusal> finish_check(const caller_arrived& arrived,
                                                  const config::service_spec& spec,
                                                  open_request& out, step& now) const;

    void list_models(const caller_arrived& arrived, step& now);
    void admit(request_id request, step& now);
    void deliver(open_request& admitted, step& now);
    void refuse(request_id request, const delivery::refusal& refused, step& now);
    void forget(request_id request, const std::string& result, step& now);
    void answer_whole(request_id request, int status, http_headers headers, std::string body,
                      step& now);
    void update_drain(step& now);

    front_settings settings_;
    const config::operators_text* text_ = nullptr;
    keys::key_service* keys_ = nullptr;
    membership::standing_service* standing_ = nullptr;
    membership::membership_service* membership_ = nullptr;
    limits::limits_service* limits_ = nullptr;
    delivery::quarantine* quarantine_ = nullptr;
    service_health* health_ = nullptr;
    forwarder* forward_ = nullptr;
    metrics* metrics_ = nullptr;
    std::map<request_id, open_request> open_;
    std::map<limits::admission_ticket, request_id> by_ticket_;
    delivery::drain drain_;
    bool exiting_ = false;
};

} // namespace camphorgrade::gateway
