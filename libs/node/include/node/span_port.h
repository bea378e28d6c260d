#pragma once

#include <node/port.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace camphorgrade {

/** Appends finished spans to a file as OTLP/JSON lines; drops them when no file is set. */
class span_port final : public port {
public:
    /** `file` may be empty. `service_name` is what the spans name as their process. */
    span_port(const std::string& file, std::string service_name);

    bool carry_out(const effect& wanted) override;

private:
    std::ofstream out_;
    std::string service_name_;
    std::int64_t unix_offset_ms_;
};

} // namespace camphorgrade
