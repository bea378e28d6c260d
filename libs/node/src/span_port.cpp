#include <node/span_port.h>

#include <kernel/clock.h>
#include <telemetry/trace.h>

#include <chrono>
#include <utility>

namespace camphorgrade {

namespace {

/** Milliseconds from the monotonic clock's zero to the Unix epoch, as of now. */
std::int64_t unix_offset_now() {
    const auto wall =
        std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
    return (wall - monotonic_clock{}.now().time_since_epoch()).count();
}

} // namespace

span_port::span_port(const std::string& file, std::string service_name)
    : service_name_(std::move(service_name)), unix_offset_ms_(unix_offset_now()) {
    if (!file.empty()) {
        out_.open(file, std::ios::app);
    }
}

bool span_port::carry_out(const effect& wanted) {
    const auto* exported = std::get_if<export_span>(&wanted);
    if (exported == nullptr) {
        return false;
    }
    if (out_.is_open()) {
        // Flushed line by line: several processes may append to one file.
        out_ << to_otlp_json(exported->finished, service_name_, unix_offset_ms_) + "\n"
             << std::flush;
    }
    return true;
}

} // namespace camphorgrade
