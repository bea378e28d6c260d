#include <telemetry/metrics.h>
#include <telemetry/trace.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;

TEST_CASE("metrics are exported in the Prometheus text format") {
    metrics registry;
    registry.count("camphor_requests_total", {{"result", "who\"le"}}, 2);
    registry.set("camphor_open_streams", {}, 3);
    for (int i = 1; i <= 100; ++i) {
        registry.observe("camphor_wait_ms", {}, i);
    }
    const std::string text = registry.prometheus_text();
    CHECK(text.find("# TYPE camphor_requests_total counter\n"
                    "camphor_requests_total{result=\"who\\\"le\"} 2\n") != std::string::npos);
    CHECK(text.find("camphor_open_streams 3\n") != std::string::npos);
    CHECK(text.find("camphor_wait_ms_count 100\n") != std::string::npos);
    CHECK(text.find("camphor_wait_ms{quantile=\"0.5\"} 5") != std::string::npos);
    CHECK(registry.counter_value("camphor_requests_total", {{"result", "who\"le"}}) == 2);
}

TEST_CASE("traceparent parsing is strict, and formatting restores the header") {
    const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = parse_traceparent(valid);
    REQUIRE(context.has_value());
    CHECK(format_traceparent(*context) == valid);
    CHECK_FALSE(parse_traceparent(valid + "-00").has_value());
    CHECK_FALSE(parse_traceparent("ff" + valid.substr(2)).has_value());
    CHECK_FALSE(parse_traceparent("00-" + std::string(32, '0') + valid.substr(35)).has_value());
    CHECK_FALSE(parse_traceparent("").has_value());
}

TEST_CASE("arbitrary bytes are rejected or survive a round trip") {
    rc::prop("traceparent", [](const std::string& bytes) {
        const auto context = parse_traceparent(bytes);
        if (context) {
            RC_ASSERT(parse_traceparent(format_traceparent(*context)) == context);
        }
    });
}

TEST_CASE("a span is formatted as one line of OTLP/JSON") {
    const span finished{{std::string(32, 'a'), std::string(16, 'b')},
                        std::string(16, 'c'),
                        "gateway",
                        time_point{duration{5}},
                        time_point{duration{7}},
                        {{"status", "200"}}};
    const auto line = nlohmann::json::parse(to_otlp_json(finished, "camphor-gateway", 1'000));
    const auto& span_json = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(span_json["startTimeUnixNano"] == "1005000000");
    CHECK(span_json["endTimeUnixNano"] == "1007000000");
    CHECK(span_json["attributes"][0]["value"]["stringValue"] == "200");
}
