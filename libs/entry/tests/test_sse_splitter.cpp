#include "sse_splitter.h"
#include "stream_position.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace camphorgrade::entry;
using events = std::vector<sse_event>;

TEST_CASE("only whole events are returned, each with its id") {
    sse_splitter splitter;
    CHECK(splitter.append("id: 1\ndata: a\n").empty());
    CHECK(splitter.append("\nid: 2\nda") == events{{"id: 1\ndata: a\n\n", 1, false}});
    CHECK(splitter.incomplete_bytes() == std::string("id: 2\nda").size());
    CHECK(splitter.append("ta: b\n\nid:3\r\n\r\n") ==
          events{{"id: 2\ndata: b\n\n", 2, false}, {"id:3\r\n\r\n", 3, false}});
    CHECK(splitter.incomplete_bytes() == 0);
}

TEST_CASE("an id that is no decimal number of 64 bits is none") {
    for (const auto* line : {"id", "id:", "id: ", "id: one", "id: 1x", "id: -1", "id:  1",
                             "id: 18446744073709551616", "identity: 1", " id: 1", "data: id: 1"}) {
        sse_splitter splitter;
        const auto found = splitter.append(std::string(line) + "\n\n");
        REQUIRE(found.size() == 1);
        CHECK_FALSE(found.front().id.has_value());
    }
}

TEST_CASE("comments and blank lines are no events for the position of a stream") {
    sse_splitter splitter;
    stream_position position;
    for (const auto& each : splitter.append("\n: one\n\nid: 7\n\n:two\r\n\r\n")) {
        position.on_event(each);
    }
    CHECK(position.is_known());
    CHECK(position.last_event_id() == 7);
}

TEST_CASE("no byte is lost, added or reordered, however the stream is split") {
    rc::prop("a stream in pieces of any size", [] {
        std::string whole;
        const auto count = *rc::gen::inRange(0, 10);
        for (int i = 1; i <= count; ++i) {
            const std::string line_end = *rc::gen::element<std::string>("\n", "\r\n");
            for (const auto& line : {std::string("weight-versions: 3"), "id: " + std::to_string(i),
                                     std::string("data: x"), std::string()}) {
                whole.append(line).append(line_end);
            }
        }
        sse_splitter splitter;
        stream_position position;
        std::string out;
        std::string remaining = whole;
        while (!remaining.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, remaining.size() + 1);
            for (const auto& each : splitter.append(remaining.substr(0, size))) {
                out += each.bytes;
                position.on_event(each);
            }
            remaining.erase(0, size);
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(splitter.incomplete_bytes() == 0U);
        RC_ASSERT(position.is_known());
        RC_ASSERT(position.last_event_id().value_or(0) == static_cast<std::uint64_t>(count));
    });
}
