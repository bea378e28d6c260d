#include <standins/vms_standin.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace camphorgrade::standins {

using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;

std::optional<std::vector<listed_vm>> parse_vms(const json& body) {
    const auto list = body.find("vms");
    if (list == body.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<listed_vm> vms;
    for (const json& entry : *list) {
        const bool is_complete = entry.is_object() && entry.contains("address") &&
                                 entry["address"].is_string() && entry.contains("state") &&
                                 (entry["state"] == "live" || entry["state"] == "leaving");
        if (!is_complete) {
            return std::nullopt;
        }
        vms.push_back({entry["address"].get<std::string>(), entry["state"].get<std::string>()});
    }
    return vms;
}

} // namespace

vms_standin::vms_standin(duration lag) : lag_(lag), host_(*this) {}

void vms_standin::handle(standin_call call) {
    const std::string route = call.request.method + " " + call.request.path;
    if (route == "GET /v1/vms") {
        list_vms(call);
    } else if (route == "POST /control/vms") {
        set_vms(call);
    } else {
        call.writer->respond(json_response(not_found, {{"message", "no such route"}}));
    }
}

void vms_standin::list_vms(const standin_call& call) const {
    json list = json::array();
    for (const listed_vm& vm : vms_) {
        list.push_back({{"address", vm.address}, {"state", vm.state}});
    }
    call.writer->respond(json_response(ok, {{"vms", std::move(list)}}));
}

void vms_standin::set_vms(const standin_call& call) {
    auto requested = parse_vms(json_body(call.request));
    if (!requested) {
        call.writer->respond(json_response(bad_request, {{"message", "malformed list"}}));
        return;
    }
    host_.loop().post([this, list = std::move(*requested)] { vms_ = list; }, lag_);
    call.writer->respond(json_response(ok, json::object()));
}

} // namespace camphorgrade::standins
