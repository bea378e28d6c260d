#include <agent/answer_meter.h>

#include <catch2/catch.hpp>

using camphorgrade::agent::answer_meter;

TEST_CASE("a stream counts one token an event, however it is cut into pieces") {
    const std::string stream = "data: {\"a\":1}\r\n\r\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
        answer_meter meter(true);
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            if (at <= stream.find("[DONE]")) {
                CHECK_FALSE(meter.ended_properly());
            }
            meter.add(stream.substr(at, piece));
        }
        CHECK(meter.generated_tokens() == 2);
        CHECK(meter.ended_properly());
    }
}

TEST_CASE("a whole answer counts its usage") {
    answer_meter meter(false);
    meter.add(R"({"usage":{"completion_)");
    CHECK(meter.generated_tokens() == 0);
    meter.add(R"(tokens":7}})");
    CHECK(meter.generated_tokens() == 7);
}

TEST_CASE("an answer without usage counts nothing") {
    answer_meter meter(false);
    meter.add(R"([1,2])");
    CHECK(meter.generated_tokens() == 0);
}
