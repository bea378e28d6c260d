#pragma once

#include <node/port.h>

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace camphorgrade {

/**
 * Writes log records as one JSON object a line to standard error:
 * {"time","level","node","event", ...fields}.
 */
class log_port final : public port {
public:
    /** `level` is the least serious level that is written. */
    log_port(const std::string& node_name, log_level level);
    ~log_port() override;

    bool carry_out(const effect& wanted) override;

    /** Writes a record of the daemon's own. */
    void write(const write_log& entry);

private:
    std::string node_name_;
    log_level least_;
    std::shared_ptr<spdlog::logger> logger_; // spdlog shares its loggers
};

} // namespace camphorgrade
