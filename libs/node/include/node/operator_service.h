#pragma once

#include <kernel/service.h>
#include <telemetry/metrics.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade {

/**
 * The service "operators" of both daemons: answers on the operators' port.
 *
 * GET /healthz answers 200 while the event loop runs, /ready 200 or 503, /metrics Prometheus text,
 * /status a JSON object with one member for each section. Not thread safe.
 *
 * @code
 * auto operators = std::make_unique<operator_service>();
 * operators->set_ready([&](time_point now) { return front.ready(now); });
 * operators->add_section("standing", [&](time_point now) { return describe(standing, now); });
 * @endcode
 */
class operator_service final : public service {
public:
    using readiness = std::function<bool(time_point)>;
    using section = std::function<nlohmann::json(time_point)>;
    using gauges = std::function<void(metrics&, time_point)>;
    /** Carries out a request to change something; false for "no such thing". */
    using command = std::function<bool(const std::string& argument, step& now)>;

    /** `credential` is the token that commands need; empty refuses all commands. */
    explicit operator_service(std::string credential);
    ~operator_service() override;

    std::string_view name() const noexcept override { return "operators"; }
    void attach(micro_kernel& kernel) override;
    void on_caller(const caller_arrived& arrived, step& now) override;

    /** What /ready answers. Without one the node is ready. */
    void set_ready(readiness ready) { ready_ = std::move(ready); }

    /** Adds a member to /status. */
    void add_section(const std::string& title, section describe);

    /** Adds a function that sets gauges just before /metrics is answered. */
    void add_gauges(gauges publish) { gauges_.push_back(std::move(publish)); }

    /**
     * Adds POST /commands/<title>/<argument>: 200 when it returns true, else 404; 401 without the
     * credential as a bearer token.
     */
    void add_command(const std::string& title, command run);

private:
    void answer(request_id request, int status, const std::string& type, const std::string& body,
                step& now);
    bool authorized(const http_headers& headers) const;
    void run_command(const caller_arrived& arrived, step& now);
    std::string status_json(time_point now) const;

    std::string credential_;
    metrics* metrics_ = nullptr;
    readiness ready_;
    std::vector<gauges> gauges_;
    std::map<std::string, section> sections_;
    std::map<std::string, command> commands_;
};

} // namespace camphorgrade
