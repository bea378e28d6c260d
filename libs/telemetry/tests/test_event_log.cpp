#include <telemetry/event_log.h>

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace camphorgrade;

namespace {

class recording_sink final : public line_sink {
public:
    std::size_t write(std::string_view bytes) override {
        text += bytes;
        return bytes.size();
    }

    std::size_t count(const std::string& substring) const {
        std::size_t found = 0;
        for (auto at = text.find(substring); at != std::string::npos;
             at = text.find(substring, at + 1)) {
            ++found;
        }
        return found;
    }

    std::string text;
};

} // namespace

TEST_CASE(
    "load: successes and failures have separate rate limits, and suppressed lines are counted") {
    manual_clock clock;
    recording_sink sink;
    event_log log("node", clock, sink, {10, 20});
    for (int i = 0; i < 50; ++i) {
        log.line("request_finished").number("status", 200);
        log.line("request_finished", log_category::failure).number("status", 503);
    }
    log.flush();
    CHECK(sink.count("\"status\":200") == 10);
    CHECK(sink.count("\"status\":503") == 20);
    clock.advance_to(time_point{duration{1'000}});
    log.line("tick");
    log.flush();
    CHECK(sink.count("\"count\":40") == 1);
    CHECK(sink.count("\"count\":30") == 1);
}
