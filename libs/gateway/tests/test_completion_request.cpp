#include <gateway/completion_request.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::gateway;

namespace {

const completion_limits limits{100, 10};

bool accepted(const std::string& body, bool chat = false) {
    return std::holds_alternative<completion_request>(parse_completion_request(body, chat, limits));
}

} // namespace

TEST_CASE("a completion request is read") {
    const auto parsed = parse_completion_request(
        R"({"model":"reverb@v2","prompt":"12345678","max_tokens":7,"stream":true})", false, limits);
    CHECK(std::get<completion_request>(parsed) == completion_request{"reverb@v2", true, 3, 7});
}

TEST_CASE("a chat request is read, with the default max_tokens") {
    const auto parsed = parse_completion_request(
        R"({"model":"reverb","messages":[{"role":"user","content":"1234"}]})", true, limits);
    CHECK(std::get<completion_request>(parsed) == completion_request{"reverb", false, 2, 10});
}

TEST_CASE("bad bodies are refused") {
    CHECK_FALSE(accepted(""));
    CHECK_FALSE(accepted("{"));
    CHECK_FALSE(accepted("[]"));
    CHECK_FALSE(accepted(std::string(100'000, '[')));
    CHECK_FALSE(accepted(R"({"prompt":"x"})"));
    CHECK_FALSE(accepted(R"({"model":"","prompt":"x"})"));
    CHECK_FALSE(accepted(R"({"model":7,"prompt":"x"})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":["x"]})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","max_tokens":-1})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","max_tokens":0})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","max_tokens":101})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","max_tokens":1e300})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","n":2})"));
    CHECK_FALSE(accepted(R"({"model":"a","prompt":"x","stream":"yes"})"));
    CHECK_FALSE(accepted(R"({"model":"a","messages":[{"role":"user"}]})", true));
    CHECK(accepted(R"({"model":"a","prompt":"x","max_tokens":100})"));
}

TEST_CASE("the engine gets the adapter's full name and the checked max_tokens") {
    const auto body = nlohmann::json::parse(
        engine_body(R"({"model":"reverb","prompt":"x","temperature":0.5})", "reverb@v2", 9));
    CHECK(body["model"] == "reverb@v2");
    CHECK(body["max_tokens"] == 9);
    CHECK(body["temperature"] == 0.5);
}

TEST_CASE("no bytes break the parser, and what it accepts can be sent on") {
    rc::prop("random bytes", [](const std::string& body, bool chat) {
        if (accepted(body, chat)) {
            RC_ASSERT(!engine_body(body, "a@1", 1).empty());
        }
    });
    rc::prop("mutated requests", [](std::size_t at, char byte) {
        std::string body = R"({"model":"reverb@v2","prompt":"1234","max_tokens":7,"stream":true})";
        body[at % body.size()] = byte;
        if (accepted(body)) {
            RC_ASSERT(!engine_body(body, "a@1", 1).empty());
        }
    });
}

TEST_CASE("refusals carry type, run state and when to come back") {
    const delivery::refusal refused{delivery::refusal_type::over_rate,
                                    delivery::run_knowledge::not_run, duration{1'200}};
    CHECK(delivery::http_status(refused.type) == 429);
    CHECK(find_header(delivery::refusal_headers(refused), "Retry-After") == "2");
    const auto body = nlohmann::json::parse(delivery::refusal_body(refused));
    CHECK(body["error"]["type"] == "over_rate");
    CHECK(body["error"]["run"] == "not_run");
    CHECK(body["error"]["retry_after_ms"] == 1'200);
}
