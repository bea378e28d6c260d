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
constexpr std::size_t most_tokens = 100'000;

/** The text that the model is to go on from; nothing when the body has none. */
std::optional<std::string> prompt_of(const json& body, bool is_chat) {
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
        const bool has_text =
            message.is_object() && message.contains("content") && message["content"].is_string();
        if (!has_text) {
            return std::nullopt;
        }
        prompt += message["content"].get<std::string>();
    }
    return prompt;
}

/** How many tokens are wanted; nothing when the number makes no sense. */
std::optional<std::size_t> tokens_wanted(const json& body) {
    if (!body.contains("max_tokens")) {
        return default_max_tokens;
    }
    const std::size_t wanted = number_in(body, "max_tokens", 0);
    return wanted > 0 && wanted <= most_tokens ? std::optional(wanted) : std::nullopt;
}

std::size_t prompt_tokens(const std::string& prompt) {
    return prompt.size() / 4 + 1;
}

} // namespace

void engine_standin::generate(standin_call call, bool is_chat) {
    const json body = json_body(call.request);
    const auto prompt = prompt_of(body, is_chat);
    const auto max_tokens = tokens_wanted(body);
    const std::string model =
        body.value("model", json()).is_string() ? body["model"].get<std::string>() : std::string();
    if (!prompt || !max_tokens) {
        refuse(call, bad_request, "malformed request");
        return;
    }
    const auto adapter = adapters_.find(model);
    const bool is_loaded = adapter != adapters_.end() && adapter->second == adapter_state::ready;
    if (model != settings_.base_model && !is_loaded) {
        refuse(call, not_found, "The model `" + model + "` does not exist.");
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
    begin(call.id);
}

void engine_standin::on_caller_lost(exchange_id id) {
    if (running_.erase(id) > 0) {
        ++counts_.cancelled;
    }
}

void engine_standin::begin(exchange_id id) {
    const generation& started = running_.at(id);
    if (started.is_stream) {
        started.writer->start(
            {ok, {{"Content-Type", "text/event-stream"}, {"X-Boot-Id", settings_.boot_id}}});
    }
    schedule_token(id);
}

void engine_standin::schedule_token(exchange_id id) {
    host_.loop().post([this, id] { produce_token(id); }, settings_.token_time);
}

void engine_standin::produce_token(exchange_id id) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    generation& running = found->second;
    if (settings_.break_stream_at > 0 && running.generated >= settings_.break_stream_at) {
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
         whole_body(finished)});
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
        event["usage"] = {{"prompt_tokens", prompt_tokens(running.prompt)},
                          {"completion_tokens", running.generated},
                          {"total_tokens", prompt_tokens(running.prompt) + running.generated}};
    }
    return "data: " + event.dump() + "\n\n";
}

std::string engine_standin::whole_body(const generation& finished) const {
    const std::string text = expected_text(finished.model, finished.prompt, finished.max_tokens);
    json choice{{"index", 0}, {"finish_reason", "length"}};
    if (finished.is_chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const std::size_t asked = prompt_tokens(finished.prompt);
    return json{{"object", finished.is_chat ? "chat.completion" : "text_completion"},
                {"model", finished.model},
                {"choices", json::array({std::move(choice)})},
                {"usage",
                 {{"prompt_tokens", asked},
                  {"completion_tokens", finished.generated},
                  {"total_tokens", asked + finished.generated}}}}
        .dump();
}

} // namespace camphorgrade::standins
