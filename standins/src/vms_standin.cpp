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

std::optional<std::vector<listed_vm>> decode(const json& body) {
    const auto list = body.find("vms");
    if (list == body.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<listed_vm> vms;
    for (const json& each : *list) {
        const bool is_complete = each.is_object() && each.contains("address") &&
                                 each["address"].is_string() && each.contains("state") &&
                                 (each["state"] == "live" || each["state"] == "leaving");
        if (!is_complete) {
            return std::nullopt;
        }
        vms.push_back({each["address"].get<std::string>(), each["state"].get<std::string>()});
    }
    return vms;
}

} // namespace

vms_standin::vms_standin(duration lag) : lag_(lag), host_(*this) {}

void vms_standin::handle(standin_call call) {
    const std::string route = call.request.method + " " + call.request.path;
    if (route == "GET /v1/vms") {
        show(call);
    } else if (route == "POST /control/vms") {
        change(call);
    } else {
        call.writer->respond(json_response(not_found, {{"message", "no such route"}}));
    }
}

void vms_standin::show(const standin_call& call) const {
    json list = json::array();
    for (const listed_vm& vm : vms_) {
        list.push_back({{"address", vm.address}, {"state", vm.state}});
    }
    call.writer->respond(json_response(ok, {{"vms", std::move(list)}}));
}

void vms_standin::change(const standin_call& call) {
    auto wanted = decode(json_body(call.request));
    if (!wanted) {
        call.writer->respond(json_response(bad_request, {{"message", "malformed list"}}));
        return;
    }
    host_.loop().post([this, list = std::move(*wanted)] { vms_ = list; }, lag_);
    call.writer->respond(json_response(ok, json::object()));
}

} // namespace camphorgrade::standins
