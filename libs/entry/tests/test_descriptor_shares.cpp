#include "descriptor_shares.h"

#include <catch2/catch.hpp>

#include <cstddef>

using namespace camphorgrade::entry;

TEST_CASE("each request of the callers can have a connection to a server") {
    for (const std::size_t descriptors : {64, 96, 256, 1'024, 4'100, 8'192, 65'536}) {
        INFO(descriptors << " descriptors");
        const auto shares = share_descriptors(descriptors);
        const auto refusing = shares.caller_connections / 8 + 1;
        const auto used = 2 * shares.caller_connections + refusing + shares.idle_upstream;
        CHECK(shares.caller_connections > 0);
        CHECK(shares.idle_upstream > 0);
        CHECK(used < descriptors);
    }
    CHECK(share_descriptors(4'100).caller_connections == 1'520);
    CHECK(share_descriptors(8'192).caller_connections == 3'156);
}

TEST_CASE("a process without a configured number of descriptors isn't left with none") {
    CHECK(available_descriptors(0) > 0);
    CHECK(available_descriptors(64) == 64);
}
