#include <agent/answer_meter.h>

#include <nlohmann/json.hpp>

namespace camphorgrade::agent {

namespace {

constexpr const char* data_prefix = "data:";
constexpr std::size_t max_metered_bytes = 4'000'000;

} // namespace

void answer_meter::add(const std::string& bytes) {
    if (!stream_) {
        // Past the bound the usage stays unknown, and the full cost stays charged.
        if (pending_.size() + bytes.size() <= max_metered_bytes) {
            pending_ += bytes;
        }
        return;
    }
    for (const char c : bytes) {
        if (c == '\n') {
            take_line(pending_);
            pending_.clear();
        } else if (c != '\r') {
            pending_ += c;
        }
    }
}

std::uint64_t answer_meter::generated_tokens() const {
    if (stream_) {
        return events_;
    }
    const auto answer = nlohmann::json::parse(pending_, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object()) {
        return 0;
    }
    const auto& usage = answer["usage"];
    const auto tokens = usage.find("completion_tokens");
    return tokens != usage.end() && tokens->is_number_unsigned() ? tokens->get<std::uint64_t>() : 0;
}

void answer_meter::take_line(const std::string& line) {
    if (!line.starts_with(data_prefix)) {
        return;
    }
    if (line.find("[DONE]") != std::string::npos) {
        done_ = true;
    } else {
        ++events_;
    }
}

} // namespace camphorgrade::agent
