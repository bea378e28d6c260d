#include <telemetry/metrics.h>
#include <telemetry/trace.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;

TEST_CASE("metrics print as Prometheus text") {
    metrics all;
    all.count("camphor_requests_total", {{"result", "who\"le"}}, 2);
    all.set("camphor_open_streams", {}, 3);
    for (int i = 1; i <= 100; ++i) {
        all.observe("camphor_wait_ms", {}, i);
    }
    const std::string text = all.prometheus_text();
    CHECK(text.find("# TYPE camphor_requests_total counter\n"
                    "camphor_requests_total{result=\"who\\\"le\"} 2\n") != std::string::npos);
    CHECK(text.find("camphor_open_streams 3\n") != std::string::npos);
    CHECK(text.find("camphor_wait_ms_count 100\n") != std::string::npos);
    CHECK(text.find("camphor_wait_ms{quantile=\"0.5\"} 5") != std::string::npos);
    CHECK(all.counter_value("camphor_requests_total", {{"result", "who\"le"}}) == 2);
}

TEST_CASE("traceparent is read strictly and written back") {
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = parse_traceparent(good);
    REQUIRE(context.has_value());
    CHECK(format_traceparent(*context) == good);
    CHECK_FALSE(parse_traceparent(good + "-00").has_value());
    CHECK_FALSE(parse_traceparent("ff" + good.substr(2)).has_value());
    CHECK_FALSE(parse_traceparent("00-" + std::string(32, '0') + good.substr(35)).has_value());
    CHECK_FALSE(parse_traceparent("").has_value());
}

TEST_CASE("any bytes are either refused or survive a round trip") {
    rc::prop("traceparent", [](const std::string& bytes) {
        const auto context = parse_traceparent(bytes);
        if (context) {
            RC_ASSERT(parse_traceparent(format_traceparent(*context)) == context);
        }
    });
}

TEST_CASE("a span becomes one line of OTLP JSON") {
    const span finished{{std::string(32, 'a'), std::string(16, 'b')},
                        std::string(16, 'c'),
                        "gateway",
                        time_point{duration{5}},
                        time_point{duration{7}},
                        {{"status", "200"}}};
    const auto line = nlohmann::json::parse(to_otlp_json(finished, "camphor-gateway", 1'000));
    const auto& one = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(one["startTimeUnixNano"] == "1005000000");
    CHECK(one["endTimeUnixNano"] == "1007000000");
    CHECK(one["attributes"][0]["value"]["stringValue"] == "200");
}
