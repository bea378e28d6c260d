#include "site.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using json = nlohmann::json;

json route(const char* name, const char* prefix, const char* kind, const char* service) {
    const bool is_stream = std::string(kind) == "streaming";
    return {{"name", name},     {"host", site_host},   {"path_prefix", prefix},
            {"kind", kind},     {"timeout_ms", 5'000}, {"goal_ms", 800},
            {"priority", 1},    {"service", service},  {"max_attempts", 2},
            {"public", false},  {"sticky", is_stream}, {"resumable", false},
            {"gap_aim_ms", 250}};
}

} // namespace

std::string site_configuration(const site_options& options) {
    const json engine{{"slots", 64},
                      {"kv_tokens", 266'018},
                      {"models",
                       {{{"name", site_model},
                         {"weights_mb", options.model_mb},
                         {"load_s", 1.3},
                         {"adapters", options.adapters},
                         {"adapter_mb", options.adapter_mb}}}},
                      {"weights_mb", options.weights_mb},
                      {"adapter_slots", options.adapter_slots},
                      {"loads_per_s", 2.8}};
    auto streams = route("r-1", "/lohu930/", "streaming", engine_service);
    if (options.has_resumable_streams) {
        streams["service"] = plain_service;
        streams["resumable"] = true;
        streams["timeout_ms"] = stream_timeout_ms;
    }
    const json out{{"version", options.version},
                   {"routes",
                    {streams, route("r-2", "/puxa403/", "non_idempotent", plain_service),
                     route("r-3", "/cufi504/", "idempotent", plain_service)}},
                   {"services",
                    {{{"name", engine_service},
                      {"health_path", "/health"},
                      {"max_conns", 370},
                      {"engine", engine}},
                     {{"name", plain_service}, {"health_path", "/health"}, {"max_conns", 110}}}},
                   {"limits",
                    {{"max_header_bytes", 16'384},
                     {"max_body_bytes", 4'194'304},
                     {"header_timeout_ms", 3'000},
                     {"idle_timeout_ms", 15'000}}},
                   {"tenants",
                    {{{"name", "hule930"},
                      {"api_keys", {site_key}},
                      {"priority", 1},
                      {"unit", "tokens"},
                      {"plain_tokens", 200},
                      {"rate_per_s", 1'000'000},
                      {"burst", 1'000'000}},
                     {{"name", "dati991"},
                      {"api_keys", {options.second_tenant_key}},
                      {"priority", 1},
                      {"unit", "tokens"},
                      {"plain_tokens", 200},
                      {"rate_per_s", 1'000'000},
                      {"burst", 1'000'000}}}}};
    return out.dump();
}

std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& model, int deadline_ms, std::size_t body_bytes,
                         const std::string& key) {
    auto out = method + ' ' + path + " HTTP/1.1\r\nHost: " + site_host + "\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " +
               key + "\r\n";
    if (!model.empty()) {
        out += "X-Model: " + model + "\r\nX-Token-Usage: 600,50\r\nX-Prompt-Prefix: 5c1e07a2:400," +
               id + ":200\r\n";
    }
    if (method != "GET") {
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return out + "\r\n";
}

} // namespace review
