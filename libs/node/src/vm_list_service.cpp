#include <node/vm_list_service.h>

#include <nlohmann/json.hpp>

namespace camphorgrade {

namespace {

constexpr duration poll_period{1'000};
constexpr token poll = 1;
constexpr int status_ok = 200;
// Apart from the numbers that other services give to calls.
constexpr std::uint64_t first_call = std::uint64_t{1} << 61U;

} // namespace

std::optional<std::set<std::string>> parse_leaving_vms(const std::string& body) {
    const auto list = nlohmann::json::parse(body, nullptr, false);
    if (!list.is_object() || !list.contains("vms") || !list["vms"].is_array()) {
        return std::nullopt;
    }
    std::set<std::string> leaving;
    for (const auto& each : list["vms"]) {
        const bool complete = each.is_object() && each.contains("address") &&
                              each["address"].is_string() && each.contains("state") &&
                              each["state"].is_string();
        if (!complete) {
            return std::nullopt;
        }
        if (each["state"] == "leaving") {
            leaving.insert(each["address"].get<std::string>());
        }
    }
    return leaving;
}

bool names_node(const std::set<std::string>& vms, const node_id& node) {
    const std::string& address = node.value();
    return vms.contains(address) || vms.contains(address.substr(0, address.rfind(':')));
}

vm_list_service::vm_list_service(std::optional<std::string> endpoint)
    : endpoint_(std::move(endpoint)), last_call_(first_call) {}

void vm_list_service::start(step& now) {
    if (endpoint_) {
        ask(now);
    }
}

void vm_list_service::on_timer(token /*id*/, step& now) {
    ask(now);
}

void vm_list_service::ask(step& now) {
    status_ = 0;
    body_.clear();
    now.emit(call_backend{
        std::string(name()), call_id{++last_call_}, {"GET", "/v1/vms", "", {}, ""}, *endpoint_});
}

void vm_list_service::on_call(call_id call, const call_progress& progress, step& now) {
    if (call.value() != last_call_) {
        return;
    }
    if (const auto* head = std::get_if<http_head>(&progress)) {
        status_ = head->status;
    } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
        body_ += chunk->bytes;
    } else {
        if (std::holds_alternative<http_end>(progress) && status_ == status_ok) {
            take(body_, now);
        }
        now.emit(set_timer{std::string(name()), poll, now.time() + poll_period});
    }
}

void vm_list_service::take(const std::string& body, step& now) {
    const auto leaving = parse_leaving_vms(body);
    if (!leaving || *leaving == leaving_) {
        return;
    }
    leaving_ = *leaving;
    if (!told_to_leave_ && names_node(leaving_, now.self())) {
        told_to_leave_ = true;
        now.emit(begin_shutdown{});
    }
    for (auto* each : listeners_) {
        each->on_leaving_vms(leaving_, now);
    }
}

} // namespace camphorgrade
