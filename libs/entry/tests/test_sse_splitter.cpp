#include "sse_splitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace camphorgrade::entry;

TEST_CASE("only whole events are returned and the last id is recorded") {
    sse_splitter events;
    CHECK(events.append("id: 1\ndata: a\n").empty());
    CHECK_FALSE(events.last_event_id().has_value());
    CHECK(events.append("\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.last_event_id() == 1);
    CHECK(events.incomplete_event() == "id: 2\nda");
    events.discard_incomplete_event();
    CHECK(events.append("id:2\ndata: b\n\n") == "id:2\ndata: b\n\n");
    CHECK(events.last_event_id() == 2);
}

TEST_CASE("no byte is lost, added or reordered, however the stream is split") {
    rc::prop("a stream in pieces of any size", [] {
        std::string whole;
        const auto count = *rc::gen::inRange(0, 10);
        for (int i = 1; i <= count; ++i) {
            whole += "weight-versions: 3\nid: " + std::to_string(i) + "\ndata: x\n\n";
        }
        sse_splitter events;
        std::string out;
        std::string remaining = whole;
        while (!remaining.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, remaining.size() + 1);
            out += events.append(remaining.substr(0, size));
            remaining.erase(0, size);
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(events.incomplete_event().empty());
        RC_ASSERT(events.last_event_id().value_or(0) == static_cast<std::uint64_t>(count));
    });
}
