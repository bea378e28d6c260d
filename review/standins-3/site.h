#pragma once

#include <string>
#include <vector>

namespace review {

/** Names of the small deployment that all cases use. */
constexpr const char* site_host = "ficu95.example";
constexpr const char* site_model = "daka510000";
constexpr const char* engine_service = "huvo11a";
constexpr const char* plain_service = "wuno96b";
constexpr const char* site_key = "i9n73hh2b9wu3fexd9dn";
constexpr const char* other_key = "n2ctnfzs989anu6wsjnb";
constexpr const char* stream_path = "/lohu930/2f";
constexpr const char* booking_path = "/puxa403/2f";
constexpr const char* lookup_path = "/cufi504/2f";
constexpr int stream_timeout_ms = 10'000;

/** What a case changes of the deployment's configuration. */
struct site_options {
    double weights_mb = 44'200;
    double model_mb = 42'700;
    double adapter_mb = 66;
    int adapter_slots = 9;
    int adapters = 3'000;
    /** Streams go to the plain service and may be taken up again. */
    bool has_resumable_streams = false;
    int version = 7; /**< Of the configuration. */
    std::string second_tenant_key = other_key;
};

/** The operator's configuration, as the value of `op/config`. */
std::string site_configuration(const site_options& options);

/** The head of a caller's request; its body isn't included. */
std::string request_head(const std::string& method, const std::string& path, const std::string& id,
                         const std::string& model, int deadline_ms, std::size_t body_bytes,
                         const std::string& key = site_key);

} // namespace review
