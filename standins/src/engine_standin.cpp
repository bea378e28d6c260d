#include <standins/engine_standin.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <unistd.h>

namespace camphorgrade::standins {

using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int internal_error = 500;
constexpr int insufficient_storage = 507;
constexpr int crash_exit_code = 70;
constexpr const char* boot_id_header = "X-Boot-Id";
constexpr const char* fencing_header = "X-Fencing-Number";

std::string random_boot_id() {
    std::random_device source;
    return "boot-" + std::to_string(source()) + "-" + std::to_string(source());
}

std::uint64_t fencing_number(const http_request& request) {
    const std::string text = find_header(request.headers, fencing_header).value_or("");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string string_field(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

http_response text_response(const std::string& text) {
    return {{ok, {{"Content-Type", "text/plain"}}}, text};
}

} // namespace

engine_standin::engine_standin(engine_settings settings)
    : settings_(std::move(settings)), host_(*this) {
    if (settings_.boot_id.empty()) {
        settings_.boot_id = random_boot_id();
    }
    if (!settings_.crash) {
        settings_.crash = [] { ::_exit(crash_exit_code); };
    }
}

void engine_standin::handle(standin_call call) {
    ++counts_.requests;
    counts_.authorization_headers += count_headers(call.request.headers, "Authorization");
    const std::string route = call.request.method + " " + call.request.path;
    if (route == "POST /v1/completions") {
        start_generation(std::move(call), false);
    } else if (route == "POST /v1/chat/completions") {
        start_generation(std::move(call), true);
    } else if (route == "POST /v1/load_lora_adapter") {
        load_adapter(std::move(call));
    } else if (route == "POST /v1/unload_lora_adapter") {
        unload_adapter(call);
    } else if (route == "GET /v1/models") {
        list_models(call);
    } else if (route == "GET /health") {
        respond(call, text_response(""));
    } else if (route == "GET /control/state") {
        respond_state(call);
    } else if (route == "POST /control/faults") {
        set_faults(call);
    } else {
        respond_error(call, not_found, "Not Found");
    }
}

void engine_standin::respond(const standin_call& call, http_response response) const {
    response.head.headers.push_back({boot_id_header, settings_.boot_id});
    call.writer->respond(std::move(response));
}

void engine_standin::respond_error(const standin_call& call, int status,
                                   const std::string& message) const {
    const json error{{"message", message}, {"type", "BadRequestError"}, {"code", status}};
    respond(call, json_response(status, {{"error", error}}));
}

void engine_standin::list_models(const standin_call& call) const {
    json models = json::array();
    models.push_back({{"id", settings_.base_model}, {"object", "model"}, {"parent", nullptr}});
    for (const auto& [name, state] : adapters_) {
        if (state == adapter_state::ready) {
            models.push_back({{"id", name}, {"object", "model"}, {"parent", settings_.base_model}});
        }
    }
    respond(call, json_response(ok, {{"object", "list"}, {"data", std::move(models)}}));
}

void engine_standin::respond_state(const standin_call& call) const {
    json adapters = json::array();
    for (const auto& [name, state] : adapters_) {
        adapters.push_back(
            {{"name", name}, {"state", state == adapter_state::ready ? "ready" : "loading"}});
    }
    const json state{{"boot_id", settings_.boot_id},
                     {"adapters", std::move(adapters)},
                     {"running", running_.size()},
                     {"highest_fencing_number", highest_fencing_number_},
                     {"requests", counts_.requests},
                     {"completions", counts_.completions},
                     {"finished", counts_.finished},
                     {"cancelled", counts_.cancelled},
                     {"broken", counts_.broken},
                     {"tokens", counts_.tokens},
                     {"loads", counts_.loads},
                     {"refused_loads", counts_.refused_loads},
                     {"unloads", counts_.unloads},
                     {"unloads_while_serving", counts_.unloads_while_serving},
                     {"stale_orders", counts_.stale_orders},
                     {"authorization_headers", counts_.authorization_headers}};
    respond(call, json_response(ok, state));
}

void engine_standin::set_faults(const standin_call& call) {
    const json requested = json_body(call.request);
    const auto duration_field = [&](const char* name, duration current) {
        return duration(unsigned_field(requested, name, static_cast<std::size_t>(current.count())));
    };
    settings_.break_after_tokens =
        unsigned_field(requested, "break_stream_at", settings_.break_after_tokens);
    settings_.token_interval = duration_field("token_ms", settings_.token_interval);
    settings_.load_duration = duration_field("load_ms", settings_.load_duration);
    settings_.refuses_loads =
        requested.value("refuse_loads", json(settings_.refuses_loads)) == json(true);
    if (requested.contains("crash_marker")) {
        settings_.crash_marker = string_field(requested, "crash_marker");
    }
    respond(call, json_response(ok, json::object()));
}

/** Responds with an error and returns false if the fencing number of a load or unload is stale. */
bool engine_standin::check_fencing(const standin_call& call) {
    const std::uint64_t number = fencing_number(call.request);
    if (settings_.checks_fencing && number < highest_fencing_number_) {
        ++counts_.stale_orders;
        respond_error(call, conflict, "stale fencing number");
        return false;
    }
    highest_fencing_number_ = std::max(highest_fencing_number_, number);
    return true;
}

void engine_standin::load_adapter(standin_call call) {
    const std::string name = string_field(json_body(call.request), "lora_name");
    const std::string path = string_field(json_body(call.request), "lora_path");
    if (!check_fencing(call)) {
        return;
    }
    if (name.empty() || path.empty()) {
        respond_error(call, bad_request, "Both 'lora_name' and 'lora_path' must be provided.");
        return;
    }
    if (adapters_.contains(name)) {
        respond_error(call, bad_request,
                      "The lora adapter '" + name + "' has already been loaded.");
        return;
    }
    if (settings_.refuses_loads || adapters_.size() >= settings_.adapter_slots) {
        ++counts_.refused_loads;
        respond_error(call, settings_.refuses_loads ? internal_error : insufficient_storage,
                      "cannot load another adapter");
        return;
    }
    adapters_[name] = adapter_state::loading;
    const auto loading = std::make_shared<standin_call>(std::move(call));
    host_.loop().post(
        [this, name, loading] {
            adapters_[name] = adapter_state::ready;
            ++counts_.loads;
            respond(*loading,
                    text_response("Success: LoRA adapter '" + name + "' added successfully."));
        },
        settings_.load_duration);
}

void engine_standin::unload_adapter(const standin_call& call) {
    const std::string name = string_field(json_body(call.request), "lora_name");
    if (!check_fencing(call)) {
        return;
    }
    const auto found = adapters_.find(name);
    if (found == adapters_.end() || found->second == adapter_state::loading) {
        respond_error(call, not_found, "The lora adapter '" + name + "' cannot be found.");
        return;
    }
    if (is_in_use(name)) {
        ++counts_.unloads_while_serving;
    }
    ++counts_.unloads;
    adapters_.erase(found);
    respond(call, text_response("Success: LoRA adapter '" + name + "' removed successfully."));
}

bool engine_standin::is_in_use(const std::string& model) const {
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto& each) { return each.second.model == model; });
}

} // namespace camphorgrade::standins
