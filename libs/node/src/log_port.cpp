#include <node/log_port.h>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace camphorgrade {

namespace {

spdlog::level::level_enum spdlog_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

log_port::log_port(const std::string& node_name, log_level level)
    : node_name_(node_name), least_(level),
      logger_(std::make_shared<spdlog::logger>("camphor",
                                               std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
    logger_->set_level(spdlog_level(level));
    logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})",
                         spdlog::pattern_time_type::utc);
}

log_port::~log_port() {
    logger_->flush();
}

bool log_port::carry_out(const effect& wanted) {
    const auto* entry = std::get_if<write_log>(&wanted);
    if (entry == nullptr) {
        return false;
    }
    write(*entry);
    return true;
}

void log_port::write(const write_log& entry) {
    if (entry.level < least_) {
        return;
    }
    nlohmann::json fields{{"node", node_name_}, {"event", entry.what}};
    for (const auto& [key, value] : entry.fields) {
        fields[key] = value;
    }
    const std::string object =
        fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // The pattern writes the braces and what stands before the fields.
    logger_->log(spdlog_level(entry.level), object.substr(1, object.size() - 2));
}

} // namespace camphorgrade
