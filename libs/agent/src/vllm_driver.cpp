#include <agent/vllm_driver.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace camphorgrade::agent {

namespace {

using placement::adapter_ref;
using placement::order_kind;
using placement::order_outcome;

constexpr const char* fencing_header = "X-Fencing-Number";
constexpr const char* boot_header = "X-Boot-Id";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_insufficient_storage = 507;

http_request json_post(const std::string& path, const nlohmann::json& body) {
    return {"POST", path, "", {{"Content-Type", "application/json"}}, body.dump()};
}

/** vLLM answers a repeated load or unload with 400; the state is then as was wanted. */
bool is_already_so(const engine_answer& answer, order_kind kind) {
    if (answer.head.status != status_bad_request && answer.head.status != status_not_found) {
        return false;
    }
    const char* mark = kind == order_kind::load ? "already" : "not found";
    return answer.body.find(mark) != std::string::npos ||
           answer.body.find("cannot be found") != std::string::npos;
}

} // namespace

http_request vllm_driver::order_request(const placement::slot_order& order) const {
    const std::string name = to_string(order.adapter);
    http_request request =
        order.kind == order_kind::load
            ? json_post("/v1/load_lora_adapter", {{"lora_name", name}, {"lora_path", name}})
            : json_post("/v1/unload_lora_adapter", {{"lora_name", name}});
    request.headers.push_back({fencing_header, std::to_string(order.fencing.value())});
    return request;
}

order_outcome vllm_driver::order_outcome_of(const placement::slot_order& order,
                                            const engine_answer& answer) const {
    if (answer.head.status == status_ok || is_already_so(answer, order.kind)) {
        return order_outcome::done;
    }
    switch (answer.head.status) {
    case status_conflict:
        return order_outcome::stale_fencing;
    case status_insufficient_storage:
        return order_outcome::no_capacity;
    default:
        return order_outcome::failed;
    }
}

http_request vllm_driver::listing_request() const {
    return {"GET", "/v1/models", "", {}, ""};
}

std::optional<placement::engine_listing> vllm_driver::listing_of(const engine_answer& answer,
                                                                 time_point asked_at) const {
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.head.status != status_ok || !body.is_object() || !body.contains("data") ||
        !body["data"].is_array()) {
        return std::nullopt;
    }
    placement::engine_listing listing;
    listing.boot = boot_of(answer.head).value_or(placement::boot_id{});
    listing.asked_at = asked_at;
    for (const auto& each : body["data"]) {
        // Base models stand in the list too; adapters name the model they were loaded onto.
        const bool is_adapter = each.is_object() && each.contains("parent") &&
                                each["parent"].is_string() && each.contains("id") &&
                                each["id"].is_string();
        if (is_adapter) {
            listing.adapters.push_back(placement::parse_adapter(each["id"].get<std::string>()));
        }
    }
    return listing;
}

std::optional<placement::boot_id> vllm_driver::boot_of(const http_head& head) const {
    const auto value = find_header(head.headers, boot_header);
    if (!value || value->empty()) {
        return std::nullopt;
    }
    return placement::boot_id{XXH3_64bits(value->data(), value->size())};
}

bool vllm_driver::says_missing_adapter(const http_head& head) const {
    return head.status == status_not_found;
}

} // namespace camphorgrade::agent
