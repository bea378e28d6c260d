#include <standins/engine_standin.h>
#include <standins/expected_text.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace camphorgrade::standins {

using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr std::size_t default_max_tokens = 16;
constexpr std::size_t max_tokens_limit = 100'000;

/** The prompt, or the joined contents of the chat messages; nullopt if missing or malformed. */
std::optional<std::string> find_prompt(const json& body, bool is_chat) {
    const auto field = body.find(is_chat ? "messages" : "prompt");
    if (field == body.end()) {
        return std::nullopt;
    }
    if (!is_chat) {
        return field->is_string() ? std::optional(field->get<std::string>()) : std::nullopt;
    }
    if (!field->is_array()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const json& message : *field) {
        const bool has_content =
            message.is_object() && message.contains("content") && message["content"].is_string();
        if (!has_content) {
            return std::nullopt;
        }
        prompt += message["content"].get<std::string>();
    }
    return prompt;
}

/** The value of `max_tokens` or its default; nullopt if it is out of range. */
std::optional<std::size_t> requested_max_tokens(const json& body) {
    if (!body.contains("max_tokens")) {
        return default_max_tokens;
    }
    const std::size_t requested = unsigned_field(body, "max_tokens", 0);
    return requested > 0 && requested <= max_tokens_limit ? std::optional(requested) : std::nullopt;
}

/** Estimates the length of the prompt at four characters per token. */
std::size_t estimate_prompt_tokens(const std::string& prompt) {
    return prompt.size() / 4 + 1;
}

} // namespace

void engine_standin::start_generation(standin_call call, bool is_chat) {
    const json body = json_body(call.request);
    const auto prompt = find_prompt(body, is_chat);
    const auto max_tokens = requested_max_tokens(body);
    const std::string model =
        body.value("model", json()).is_string() ? body["model"].get<std::string>() : std::string();
    if (!prompt || !max_tokens) {
        respond_error(call, bad_request, "malformed request");
        return;
    }
    const auto adapter = adapters_.find(model);
    const bool is_loaded = adapter != adapters_.end() && adapter->second == adapter_state::ready;
    if (model != settings_.base_model && !is_loaded) {
        respond_error(call, not_found, "The model `" + model + "` does not exist.");
        return;
    }
    if (!settings_.crash_marker.empty() &&
        prompt->find(settings_.crash_marker) != std::string::npos) {
        settings_.crash();
        return;
    }
    ++counts_.completions;
    generation started;
    started.model = model;
    started.prompt = *prompt;
    started.max_tokens = *max_tokens;
    started.is_chat = is_chat;
    started.is_stream = body.value("stream", json()) == json(true);
    started.writer = std::move(call.writer);
    running_.emplace(call.id, std::move(started));
    start_response(call.id);
}

void engine_standin::on_caller_lost(exchange_id id) {
    if (running_.erase(id) > 0) {
        ++counts_.cancelled;
    }
}

void engine_standin::start_response(exchange_id id) {
    const generation& started = running_.at(id);
    if (started.is_stream) {
        started.writer->start(
            {ok, {{"Content-Type", "text/event-stream"}, {"X-Boot-Id", settings_.boot_id}}});
    }
    schedule_token(id);
}

void engine_standin::schedule_token(exchange_id id) {
    host_.loop().post([this, id] { produce_token(id); }, settings_.token_interval);
}

void engine_standin::produce_token(exchange_id id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    generation& running = found->second;
    if (settings_.break_after_tokens > 0 && running.generated >= settings_.break_after_tokens) {
        ++counts_.broken;
        running_.erase(found);
        return;
    }
    const std::string token = expected_token(running.model, running.prompt, running.generated);
    ++running.generated;
    ++counts_.tokens;
    if (running.is_stream) {
        running.writer->chunk(stream_event(running, token));
    }
    if (running.generated == running.max_tokens) {
        finish(id);
    } else {
        schedule_token(id);
    }
}

void engine_standin::finish(exchange_id id) {
    const generation finished = std::move(running_.extract(id).mapped());
    ++counts_.finished;
    if (finished.is_stream) {
        finished.writer->chunk("data: [DONE]\n\n");
        finished.writer->end();
        return;
    }
    finished.writer->respond(
        {{ok, {{"Content-Type", "application/json"}, {"X-Boot-Id", settings_.boot_id}}},
         completion_body(finished)});
}

std::string engine_standin::stream_event(const generation& running, const std::string& text) const {
    const bool is_last = running.generated == running.max_tokens;
    json choice{{"index", 0}, {"finish_reason", is_last ? json("length") : json(nullptr)}};
    if (running.is_chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    json event{{"object", running.is_chat ? "chat.completion.chunk" : "text_completion"},
               {"model", running.model},
               {"choices", json::array({std::move(choice)})}};
    if (is_last) {
        event["usage"] = {
            {"prompt_tokens", estimate_prompt_tokens(running.prompt)},
            {"completion_tokens", running.generated},
            {"total_tokens", estimate_prompt_tokens(running.prompt) + running.generated}};
    }
    return "data: " + event.dump() + "\n\n";
}

std::string engine_standin::completion_body(const generation& finished) const {
    const std::string text = expected_text(finished.model, finished.prompt, finished.max_tokens);
    json choice{{"index", 0}, {"finish_reason", "length"}};
    if (finished.is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const std::size_t prompt_tokens = estimate_prompt_tokens(finished.prompt);
    return json{{"object", finished.is_chat ? "chat.completion" : "text_completion"},
                {"model", finished.model},
                {"choices", json::array({std::move(choice)})},
                {"usage",
                 {{"prompt_tokens", prompt_tokens},
                  {"completion_tokens", finished.generated},
                  {"total_tokens", prompt_tokens + finished.generated}}}}
        .dump();
}

} // namespace camphorgrade::standins
